//! Links the program as a position-dependent executable.
//!
//! A position-independent executable relocates its pointer tables at each start, which takes half
//! a megabyte of memory that processes cannot share. The VMs are small, and no other part of a
//! process's memory is that large.

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    println!("cargo::rustc-link-arg-bins=-no-pie");
}
