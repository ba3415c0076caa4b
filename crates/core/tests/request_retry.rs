//! Bounds of the retry budget and the backoff, and the `retry_after` of each cause.

use std::time::Duration;

use lichenpulley_core::retry::backoff::Backoff;
use lichenpulley_core::retry::budget::{BudgetConfig, RetryBudget};
use lichenpulley_core::retry::drain_rate::DrainRate;
use lichenpulley_core::retry::retry_after::RetryCause;
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

proptest! {
    #[test]
    fn retries_stay_within_the_deposited_budget(
        steps in prop::collection::vec((0_u64..2_000, any::<bool>()), 1..400),
    ) {
        let config = BudgetConfig::default();
        let mut budget = RetryBudget::new(config, Timestamp::ORIGIN);
        let saved = budget.balance();
        let mut now = Timestamp::ORIGIN;
        let (mut requests, mut retries) = (0.0, 0.0);
        for (pause_ms, is_request) in steps {
            now = now + Duration::from_millis(pause_ms);
            if is_request {
                budget.deposit(now);
                requests += 1.0;
            }
            if budget.withdraw(now) {
                retries += 1.0;
            }
        }
        let elapsed = now.saturating_since(Timestamp::ORIGIN).as_secs_f64();
        let bound = saved + config.deposit_ratio * requests + config.minimum_per_second * elapsed;
        prop_assert!(retries <= bound + 1e-6, "{} retries, bound {}", retries, bound);
    }

    #[test]
    fn backoff_stays_within_its_limit_and_exponential_bound(retry in 1_u32..100, seed in any::<u64>()) {
        let backoff = Backoff::new(Duration::from_millis(10), Duration::from_secs(1));
        let pause = backoff.jittered_pause(retry, &mut Pcg64Mcg::seed_from_u64(seed));
        prop_assert!(pause <= backoff.limit);
        prop_assert!(pause <= backoff.start * 2_u32.pow(retry.min(16) - 1));
    }
}

#[test]
fn retry_after_follows_the_drain_rate() {
    let mut rate = DrainRate::new(Timestamp::ORIGIN);
    let mut now = Timestamp::ORIGIN;
    for _ in 0..1_000 {
        now = now + Duration::from_millis(100);
        rate.record_completion(now);
    }
    let soon = rate.retry_after(now, 9);
    assert!(soon > Duration::from_millis(800) && soon < Duration::from_millis(1_200), "{soon:?}");
    assert!(rate.retry_after(now, 99) > soon);
    let later = now + Duration::from_secs(20);
    assert!(rate.retry_after(later, 9) > soon, "retry_after grows when a pool stops draining");
}

#[test]
fn retry_after_for_cold_replicas_follows_their_warm_up_within_bounds() {
    let after_ms = |left_ms| RetryCause::Warming(Duration::from_millis(left_ms)).retry_after().as_millis();
    assert_eq!([after_ms(0), after_ms(100), after_ms(650), after_ms(1_000)], [100, 100, 650, 1_000]);
    assert_eq!(after_ms(8_000), 1_000, "capped, since another gateway may have capacity earlier");
}

#[test]
fn every_other_cause_has_a_fixed_retry_after() {
    let after_ms = |cause: RetryCause| cause.retry_after().as_millis();
    assert_eq!(after_ms(RetryCause::NoReplica), 100);
    assert_eq!(after_ms(RetryCause::NodeShortage), 400);
    assert_eq!(after_ms(RetryCause::RefusedBeforeDispatch), 1_000);
    assert_eq!(after_ms(RetryCause::Quarantined), 300_000);
    assert_eq!(after_ms(RetryCause::NoShardOwner), 1_000);
    assert_eq!(after_ms(RetryCause::LogUnusable), 1_000);
    assert_eq!(after_ms(RetryCause::PlatformUnavailable), 5_000);
    assert_eq!(RetryCause::PlatformUnavailable.retry_after_ms(), 5_000);
}
