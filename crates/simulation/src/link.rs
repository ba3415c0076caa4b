//! Delay, loss and duplication of messages.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The quality of all links of a simulation.
///
/// Delays are uniformly distributed between the two bounds, so messages are reordered if the bounds differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkQuality {
    /// Minimum one-way delay.
    pub minimum_delay: Duration,
    /// Maximum one-way delay.
    pub maximum_delay: Duration,
    /// Probability that a message is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a message is delivered twice, from 0 to 1.
    pub duplication: f64,
}

impl LinkQuality {
    /// Delays of 0.5 to 1 ms, typical between zones, without loss or duplication.
    pub const GOOD: Self = Self {
        minimum_delay: Duration::from_micros(500),
        maximum_delay: Duration::from_millis(1),
        loss: 0.0,
        duplication: 0.0,
    };

    /// Delays of 0.5 to 50 ms, 10 % loss and 5 % duplication.
    pub const POOR: Self = Self {
        minimum_delay: Duration::from_micros(500),
        maximum_delay: Duration::from_millis(50),
        loss: 0.1,
        duplication: 0.05,
    };

    /// Draws the delays of the delivered copies of one message: none, one or two.
    pub(crate) fn draw_deliveries(&self, random: &mut Pcg64Mcg) -> Vec<Duration> {
        if random.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if random.random_bool(self.duplication) { 2 } else { 1 };
        (0..copies).map(|_| random.random_range(self.minimum_delay..=self.maximum_delay)).collect()
    }
}
