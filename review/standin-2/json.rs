//! Reads JSON, and encodes base64.

/// A JSON value; numbers are whole.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`.
    Other,
    /// A number.
    Number(u64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// An object.
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a value.
    pub fn parse(text: &[u8]) -> Self {
        Parser { text, at: 0 }.value()
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> &Self {
        let Self::Object(fields) = self else { return &Self::Other };
        fields.iter().find(|(known, _)| known == name).map_or(&Self::Other, |(_, value)| value)
    }

    /// Returns the entries of a list.
    pub fn list(&self) -> &[Self] {
        if let Self::List(entries) = self { entries } else { &[] }
    }

    /// Returns a text.
    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    /// Returns a number.
    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number } else { 0 }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> u8 {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied().unwrap_or(b'}')
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                let mut fields = Vec::new();
                self.at += 1;
                while self.peek() != b'}' {
                    let name = self.string();
                    self.skip(b':');
                    fields.push((name, self.value()));
                    self.skip(b',');
                }
                self.at += 1;
                Json::Object(fields)
            }
            b'[' => {
                let mut entries = Vec::new();
                self.at += 1;
                while self.peek() != b']' {
                    entries.push(self.value());
                    self.skip(b',');
                }
                self.at += 1;
                Json::List(entries)
            }
            b'"' => Json::Text(self.string()),
            _ => {
                let rest = &self.text[self.at..];
                let length = rest.iter().take_while(|byte| !b",]} \n".contains(byte)).count();
                self.at += length.max(1);
                let text = String::from_utf8_lossy(&rest[..length]);
                text.parse().map_or(Json::Other, Json::Number)
            }
        }
    }

    fn skip(&mut self, byte: u8) {
        if self.peek() == byte {
            self.at += 1;
        }
    }

    /// The texts that gateways write hold no escapes but these of single characters.
    fn string(&mut self) -> String {
        self.skip(b'"');
        let mut bytes = Vec::new();
        while let Some(&byte) = self.text.get(self.at) {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    bytes.push(self.text[self.at]);
                    self.at += 1;
                }
                byte => bytes.push(byte),
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let alphabet = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let is_padding = index > chunk.len();
            let digit = alphabet[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if is_padding { '=' } else { digit });
        }
    }
    text
}
