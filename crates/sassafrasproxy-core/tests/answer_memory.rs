//! Tests the bound on the memory of the answers that a node holds.

use proptest::prelude::*;
use sassafrasproxy_core::{AnswerId, AnswerLimits, AnswerMemory, AnswerRoom};

const LIMITS: AnswerLimits = AnswerLimits { max_answer_bytes: 400, max_total_bytes: 1_000 };

/// Begins an answer and reserves memory for it.
fn reserved(memory: &mut AnswerMemory, bytes: usize) -> AnswerId {
    let id = memory.begin();
    assert_eq!(memory.reserve(id, bytes), AnswerRoom::Granted { dropped: Vec::new() });
    id
}

/// Guards against one answer that takes the room of all.
#[test]
fn one_answer_is_bounded() {
    let mut memory = AnswerMemory::new(LIMITS);
    let id = memory.begin();
    assert_eq!(memory.reserve(id, 401), AnswerRoom::TooLarge);
    assert_eq!(memory.reserve(id, 400), AnswerRoom::Granted { dropped: Vec::new() });
    memory.end(id);
    assert_eq!(memory.total_bytes(), 0);
}

/// Guards against sound answers that are dropped because others have no end.
#[test]
fn largest_answer_makes_room() {
    let mut memory = AnswerMemory::new(LIMITS);
    let small = reserved(&mut memory, 50);
    let large = [300, 350, 250].map(|bytes| reserved(&mut memory, bytes));
    let sound = memory.begin();
    assert_eq!(memory.reserve(sound, 100), AnswerRoom::Granted { dropped: vec![large[1]] });
    // The one that grows is the largest itself.
    assert_eq!(memory.reserve(large[0], 400), AnswerRoom::Granted { dropped: Vec::new() });
    assert_eq!(memory.reserve(small, 300), AnswerRoom::Granted { dropped: vec![large[0]] });
    assert_eq!(memory.total_bytes(), 650);
}

/// Guards against answers that wait for slow callers and are dropped for others, although they are
/// complete.
#[test]
fn complete_answers_are_kept() {
    let mut memory = AnswerMemory::new(LIMITS);
    for _ in 0..2 {
        let id = reserved(&mut memory, 400);
        memory.complete(id);
    }
    let late = memory.begin();
    assert_eq!(memory.reserve(late, 300), AnswerRoom::NoRoom { dropped: Vec::new() });
    assert_eq!(memory.total_bytes(), 800);
    let next = memory.begin();
    assert_eq!(memory.reserve(next, 200), AnswerRoom::Granted { dropped: Vec::new() });
}

proptest! {
    /// Guards against a sum that goes over its limit, or goes wrong, in any order of events.
    #[test]
    fn total_is_bounded(events in prop::collection::vec((0..4u8, 0..8usize, 0..500usize), 1..200)) {
        let mut memory = AnswerMemory::new(LIMITS);
        let mut reading: Vec<(AnswerId, usize)> = Vec::new();
        let mut complete: Vec<(AnswerId, usize)> = Vec::new();
        for (event, index, bytes) in events {
            match event {
                0 => reading.push((memory.begin(), 0)),
                1 if index < reading.len() => {
                    let (id, held) = reading[index];
                    let gone = match memory.reserve(id, held.max(bytes)) {
                        AnswerRoom::Granted { dropped } => {
                            reading[index].1 = held.max(bytes);
                            dropped
                        }
                        AnswerRoom::TooLarge => Vec::new(),
                        AnswerRoom::NoRoom { dropped } => [dropped, vec![id]].concat(),
                    };
                    reading.retain(|(id, _)| !gone.contains(id));
                }
                2 if index < reading.len() => {
                    let answer = reading.remove(index);
                    memory.complete(answer.0);
                    complete.push(answer);
                }
                _ if index < complete.len() => memory.end(complete.remove(index).0),
                _ => {}
            }
            let held = reading.iter().chain(&complete).map(|(_, held)| held).sum::<usize>();
            prop_assert_eq!(memory.total_bytes(), held);
            prop_assert!(held <= LIMITS.max_total_bytes);
        }
    }
}
