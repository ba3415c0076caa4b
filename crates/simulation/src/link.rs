//! How badly the network treats a message.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The quality of every link of a simulation.
///
/// Delays are uniform between the two bounds, so messages overtake each other wherever the bounds differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkQuality {
    /// The shortest delay one way.
    pub minimum_delay: Duration,
    /// The longest delay one way.
    pub maximum_delay: Duration,
    /// The probability that a message is lost, from 0 to 1.
    pub loss: f64,
    /// The probability that a message arrives twice, from 0 to 1.
    pub duplication: f64,
}

impl LinkQuality {
    /// Delays of half a millisecond to a millisecond, as between the zones of the brief, and no loss.
    pub const GOOD: Self = Self {
        minimum_delay: Duration::from_micros(500),
        maximum_delay: Duration::from_millis(1),
        loss: 0.0,
        duplication: 0.0,
    };

    /// Delays up to 50 ms, a tenth lost, a twentieth doubled.
    pub const POOR: Self = Self {
        minimum_delay: Duration::from_micros(500),
        maximum_delay: Duration::from_millis(50),
        loss: 0.1,
        duplication: 0.05,
    };

    /// The delays of the copies of one message that arrive: none, one or two.
    pub(crate) fn draw_deliveries(&self, random: &mut Pcg64Mcg) -> Vec<Duration> {
        if random.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if random.random_bool(self.duplication) { 2 } else { 1 };
        (0..copies).map(|_| random.random_range(self.minimum_delay..=self.maximum_delay)).collect()
    }
}
