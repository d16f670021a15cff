//! Tests how a node finds that its registration was removed from the store.

use sassafrasproxy_core::RegistrationCheck;

/// Guards against a registration that is written again and again before the node has seen it.
#[test]
fn registration_on_its_way_is_not_removed() {
    let mut check = RegistrationCheck::default();
    assert!((0..20).all(|_| !check.record(false)));
    assert!(!check.record(true));
}

/// Guards against a second registration while a list of the store is read.
#[test]
fn short_absence_is_no_removal() {
    let mut check = RegistrationCheck::default();
    let listed = [true, false, true, true, false, true];
    assert!(listed.iter().all(|is_listed| !check.record(*is_listed)));
}

#[test]
fn absence_is_removal() {
    let mut check = RegistrationCheck::default();
    let removed = [true, false, false].map(|is_listed| check.record(is_listed));
    assert_eq!(removed, [false, false, true]);
}
