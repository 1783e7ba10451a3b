//! Expected length of answers, by plan and model.

use std::collections::HashMap;

use crate::{
    cost::{Average, Config},
    id,
};

/// Mean length of complete answers, learned for each pair of plan and model.
#[derive(Debug)]
pub struct OutputLengths {
    config: Config,
    averages: HashMap<(id::Plan, id::Model), Average>,
}

impl OutputLengths {
    /// Creates an instance that expects the configured length for every plan and model.
    pub fn new(config: Config) -> OutputLengths {
        OutputLengths { config, averages: HashMap::new() }
    }

    /// Records the length of a complete answer, in tokens.
    ///
    /// Pairs of plan and model beyond the configured number aren't tracked; for them the configured
    /// length stays in use.
    pub fn observe(&mut self, plan: &id::Plan, model: &id::Model, tokens: u32) {
        let key = (plan.clone(), model.clone());
        if !self.averages.contains_key(&key)
            && self.config.max_output_lengths <= self.averages.len()
        {
            return;
        }
        let initial = f64::from(self.config.output_tokens);
        let average = self.averages.entry(key).or_insert_with(|| Average::new(initial));
        average.observe(f64::from(tokens), self.config.gain, self.config.outlier_factor);
    }

    /// Returns the expected length of an answer that is limited to `max_tokens`, in tokens.
    pub fn expected(&self, plan: &id::Plan, model: &id::Model, max_tokens: u32) -> u32 {
        let key = (plan.clone(), model.clone());
        let expected = match self.averages.get(&key) {
            Some(it) => it.value().round() as u32,
            None => self.config.output_tokens,
        };
        expected.clamp(1, max_tokens.max(1))
    }
}
