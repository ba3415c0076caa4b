//! Tests of the tenant directory and its errors.

use lichenpulley_core::identity::TenantName;
use lichenpulley_core::ingress::tenants::{
    KeyDigest, KeyError, MAX_KEY_BYTES, Tenant, TenantDirectory, TenantError,
};
use proptest::prelude::*;

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant::new(TenantName::new(name), keys, None).expect("a tenant")
}

#[test]
fn a_key_identifies_its_tenant() {
    let directory = TenantDirectory::new(vec![tenant("one", &["a", "b"]), tenant("two", &["c"])]);
    let directory = directory.expect("a directory");
    let find = |key| directory.find_by_key(key).map(|tenant| tenant.name.as_str().to_owned());
    assert_eq!(find("a").as_deref(), Some("one"));
    assert_eq!(find("b").as_deref(), Some("one"));
    assert_eq!(find("c").as_deref(), Some("two"));
    for unknown in ["", "A", "a ", "d", &"a".repeat(MAX_KEY_BYTES + 1)] {
        assert_eq!(find(unknown), None, "{unknown}");
    }
}

#[test]
fn errors_name_the_tenant_but_not_the_key() {
    let name = TenantName::new("one");
    let error_of = |key: &str| Tenant::new(name.clone(), [key], None).expect_err("a bad key").to_string();
    assert!(error_of("").contains("one") && error_of("").contains("empty"));
    let long = "k".repeat(MAX_KEY_BYTES + 1);
    assert!(error_of(&long).contains("longer") && !error_of(&long).contains("kkk"));
    let duplicated = TenantDirectory::new(vec![tenant("one", &["a"]), tenant("one", &["b"])]);
    assert_eq!(duplicated.expect_err("one name"), TenantError::DuplicateName(name.clone()));
    let shared = TenantDirectory::new(vec![tenant("one", &["secret"]), tenant("two", &["secret"])]);
    let shared = shared.expect_err("one key");
    assert_eq!(shared, TenantError::SharedKey { first: name, second: TenantName::new("two") });
    assert!(!shared.to_string().contains("secret"));
}

#[test]
fn duplicate_keys_of_a_tenant_are_ignored() {
    assert_eq!(tenant("one", &["a", "a"]).keys.len(), 1);
}

#[test]
fn debug_output_contains_no_key_or_digest() {
    let directory = TenantDirectory::new(vec![tenant("one", &["secret"])]).expect("a directory");
    let printed = format!("{directory:?}");
    assert!(printed.contains("one") && printed.contains("hidden"), "{printed}");
    assert!(!printed.contains("secret"), "{printed}");
}

#[test]
fn empty_and_too_long_keys_are_rejected() {
    assert_eq!(KeyDigest::of(""), Err(KeyError::Empty));
    assert!(KeyDigest::of(&"k".repeat(MAX_KEY_BYTES)).is_ok());
    assert_eq!(KeyDigest::of(&"k".repeat(MAX_KEY_BYTES + 1)), Err(KeyError::TooLong));
}

proptest! {
    #[test]
    fn each_of_many_keys_identifies_its_tenant(keys in prop::collection::hash_set("[a-z0-9]{1,24}", 1..200)) {
        let keys: Vec<String> = keys.into_iter().collect();
        let tenants = keys.iter().enumerate().map(|(number, key)| tenant(&number.to_string(), &[key]));
        let directory = TenantDirectory::new(tenants.collect()).expect("a directory");
        for (number, key) in keys.iter().enumerate() {
            let find = directory.find_by_key(key).expect("a holder");
            prop_assert_eq!(find.name.as_str(), number.to_string());
        }
    }
}
