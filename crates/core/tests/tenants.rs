//! Tenants and their keys.

use lichenpulley_core::identity::TenantName;
use lichenpulley_core::ingress::tenants::{
    KeyDigest, KeyError, MAX_KEY_BYTES, Tenant, TenantDirectory, TenantError,
};
use proptest::prelude::*;

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant::new(TenantName::new(name), keys, None).expect("a tenant")
}

#[test]
fn a_key_finds_its_holder_and_no_other() {
    let directory = TenantDirectory::new(vec![tenant("one", &["a", "b"]), tenant("two", &["c"])]);
    let directory = directory.expect("a directory");
    let holder = |key| directory.find_by_key(key).map(|tenant| tenant.name.as_str().to_owned());
    assert_eq!(holder("a").as_deref(), Some("one"));
    assert_eq!(holder("b").as_deref(), Some("one"));
    assert_eq!(holder("c").as_deref(), Some("two"));
    for unknown in ["", "A", "a ", "d", &"a".repeat(MAX_KEY_BYTES + 1)] {
        assert_eq!(holder(unknown), None, "{unknown}");
    }
}

#[test]
fn what_is_wrong_with_tenants_is_told_without_the_key() {
    let name = TenantName::new("one");
    let refused = |key: &str| Tenant::new(name.clone(), [key], None).expect_err("a bad key").to_string();
    assert!(refused("").contains("one") && refused("").contains("empty"));
    let long = "k".repeat(MAX_KEY_BYTES + 1);
    assert!(refused(&long).contains("longer") && !refused(&long).contains("kkk"));
    let doubled = TenantDirectory::new(vec![tenant("one", &["a"]), tenant("one", &["b"])]);
    assert_eq!(doubled.expect_err("one name"), TenantError::DuplicateName(name.clone()));
    let shared = TenantDirectory::new(vec![tenant("one", &["secret"]), tenant("two", &["secret"])]);
    let shared = shared.expect_err("one key");
    assert_eq!(shared, TenantError::SharedKey { first: name, second: TenantName::new("two") });
    assert!(!shared.to_string().contains("secret"));
}

#[test]
fn a_key_that_a_tenant_names_twice_counts_once() {
    assert_eq!(tenant("one", &["a", "a"]).keys.len(), 1);
}

#[test]
fn nothing_that_is_printed_shows_a_key_or_its_digest() {
    let directory = TenantDirectory::new(vec![tenant("one", &["secret"])]).expect("a directory");
    let printed = format!("{directory:?}");
    assert!(printed.contains("one") && printed.contains("hidden"), "{printed}");
    assert!(!printed.contains("secret"), "{printed}");
}

#[test]
fn a_key_has_to_have_a_length() {
    assert_eq!(KeyDigest::of(""), Err(KeyError::Empty));
    assert!(KeyDigest::of(&"k".repeat(MAX_KEY_BYTES)).is_ok());
    assert_eq!(KeyDigest::of(&"k".repeat(MAX_KEY_BYTES + 1)), Err(KeyError::TooLong));
}

proptest! {
    #[test]
    fn each_of_many_keys_finds_its_own_holder(keys in prop::collection::hash_set("[a-z0-9]{1,24}", 1..200)) {
        let keys: Vec<String> = keys.into_iter().collect();
        let tenants = keys.iter().enumerate().map(|(number, key)| tenant(&number.to_string(), &[key]));
        let directory = TenantDirectory::new(tenants.collect()).expect("a directory");
        for (number, key) in keys.iter().enumerate() {
            let holder = directory.find_by_key(key).expect("a holder");
            prop_assert_eq!(holder.name.as_str(), number.to_string());
        }
    }
}
