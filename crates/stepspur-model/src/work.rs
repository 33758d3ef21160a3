//! Distributions of service time: how the work of a request class varies around its mean.

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use serde::{Deserialize, Serialize};

// The doc comments of types that derive `JsonSchema` are published as descriptions in
// `rehearsals/scenario.schema.json`; after a change, update that file with the output of `rehearse --schema`.

/// Family of a distribution of the work of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// Constant: every request needs the mean.
    Constant,
    /// Exponential; its coefficient of variation is always 1, and a configured one is ignored.
    Exponential,
    /// Log-normal, with the configured coefficient of variation.
    #[default]
    LogNormal,
    /// Pareto, with a power-law tail: most requests are small, a few are very large.
    Pareto,
}

/// A distribution of the work that one request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The family of the distribution.
    pub form: Form,
    /// Mean in microseconds on a core of speed 1; above 0.
    pub mean: f64,
    /// Coefficient of variation (standard deviation over mean); above 0 except for [`Form::Constant`].
    pub cv: f64,
}

impl Work {
    /// Returns the second moment divided by the squared mean, a factor of the Pollaczek-Khinchine formula.
    pub fn second_moment(&self) -> f64 {
        match self.form {
            Form::Constant => 1.0,
            Form::Exponential => 2.0,
            Form::LogNormal | Form::Pareto => 1.0 + self.cv * self.cv,
        }
    }

    /// Draws the work of one request, in microseconds on a core of speed 1.
    pub fn sample(&self, rng: &mut impl Rng) -> f64 {
        let drawn = match self.form {
            Form::Constant => None,
            Form::Exponential => Exp::new(1.0 / self.mean).ok().map(|d| d.sample(rng)),
            Form::LogNormal => {
                let spread = (1.0 + self.cv * self.cv).ln();
                LogNormal::new(self.mean.ln() - spread / 2.0, spread.sqrt()).ok().map(|d| d.sample(rng))
            }
            Form::Pareto => {
                // cv^2 = 1 / (a (a - 2)), solved for the shape a; the scale follows from the mean.
                let shape = 1.0 + (1.0 + 1.0 / (self.cv * self.cv)).sqrt();
                Pareto::new(self.mean * (shape - 1.0) / shape, shape).ok().map(|d| d.sample(rng))
            }
        };
        // Parameters outside the family's domain yield the mean.
        drawn.unwrap_or(self.mean)
    }
}
