//! The network between zones, and between zones and the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::ZoneName;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::time::VirtualTime;

/// One way inside a zone, at most.
const INSIDE: Duration = Duration::from_micros(500);
/// One way between zones, at least and at most.
const BETWEEN: (Duration, Duration) = (Duration::from_millis(1), Duration::from_micros(2_500));

/// An end of a connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A machine in a zone.
    Zone(ZoneName),
    /// The object API and the machine list.
    Platform,
}

/// How datagrams fare for a while.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Percent of datagrams lost.
    pub loss: u8,
    /// Percent of datagrams doubled.
    pub doubling: u8,
    /// Extra delay of a datagram, at most; differing delays reorder.
    pub delay: Duration,
}

/// Latency, faults and counters of the network.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeMap<(Place, Place), VirtualTime>,
    weather: (VirtualTime, Weather),
    /// Envelopes sent between daemons.
    pub envelopes: u64,
    /// Their bytes, if they are encoded.
    pub bytes: u64,
}

impl Network {
    /// Cuts two places off from each other until a time.
    pub fn cut(&mut self, first: &Place, second: &Place, until: VirtualTime) {
        let entry = self.cuts.entry(link(first, second)).or_default();
        *entry = until.max(*entry);
    }

    /// Until when two places are cut off from each other, if they are.
    pub fn cut_until(&self, one: &Place, other: &Place, now: VirtualTime) -> Option<VirtualTime> {
        let until = *self.cuts.get(&link(one, other))?;
        (until > now).then_some(until)
    }

    /// Sets how datagrams fare until a time.
    pub fn set_weather(&mut self, weather: Weather, until: VirtualTime) {
        self.weather = (until, weather);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.weather.0 = VirtualTime::default();
    }

    /// Time of one way.
    pub fn latency(&self, from: &Place, to: &Place, random: &mut ChaCha8Rng) -> Duration {
        let (least, most) = if from == to {
            (Duration::from_micros(50), INSIDE)
        } else {
            BETWEEN
        };
        between(least, most, random)
    }

    /// Delays after which the copies of a datagram arrive; none if it is lost.
    pub fn datagram(
        &self,
        from: &Place,
        to: &Place,
        now: VirtualTime,
        random: &mut ChaCha8Rng,
    ) -> Vec<Duration> {
        if self.cut_until(from, to, now).is_some() {
            return Vec::new();
        }
        let weather = if now < self.weather.0 {
            self.weather.1
        } else {
            Weather::default()
        };
        if chance(weather.loss, random) {
            return Vec::new();
        }
        let copies = if chance(weather.doubling, random) {
            2
        } else {
            1
        };
        (0..copies)
            .map(|_| {
                let extra = between(Duration::ZERO, weather.delay, random);
                self.latency(from, to, random) + extra
            })
            .collect()
    }
}

fn link(first: &Place, second: &Place) -> (Place, Place) {
    let (low, high) = if first <= second {
        (first, second)
    } else {
        (second, first)
    };
    (low.clone(), high.clone())
}

/// A random duration between two.
pub fn between(least: Duration, most: Duration, random: &mut ChaCha8Rng) -> Duration {
    if least >= most {
        return least;
    }
    random.random_range(least..=most)
}

/// Whether something of this many percent happens.
pub fn chance(percent: u8, random: &mut ChaCha8Rng) -> bool {
    percent > 0 && random.random_range(0..100) < percent
}
