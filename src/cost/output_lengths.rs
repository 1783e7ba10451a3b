//! Expected length of answers by plan and model.

use std::collections::HashMap;

use crate::{
    cost::{Average, Config},
    id,
};

/// OutputLengths of answers, learned by plan and model.
#[derive(Debug)]
pub struct OutputLengths {
    config: Config,
    by_plan: HashMap<(id::Plan, id::Model), Average>,
}

impl OutputLengths {
    /// Creates lengths that start from the assumed one.
    pub fn new(config: Config) -> OutputLengths {
        OutputLengths { config, by_plan: HashMap::new() }
    }

    /// Takes in the tokens of a complete answer.
    ///
    /// Pairs of plan and model beyond the configured number keep the assumed length.
    pub fn observe(&mut self, plan: &id::Plan, model: &id::Model, tokens: u32) {
        let key = (plan.clone(), model.clone());
        if !self.by_plan.contains_key(&key) && self.config.max_output_lengths <= self.by_plan.len()
        {
            return;
        }
        let assumed = f64::from(self.config.output_tokens);
        let average = self.by_plan.entry(key).or_insert_with(|| Average::assumed(assumed));
        average.observe(f64::from(tokens), self.config.gain, self.config.outlier_factor);
    }

    /// Returns the expected tokens of an answer that may have at most `most`.
    pub fn expected(&self, plan: &id::Plan, model: &id::Model, most: u32) -> u32 {
        let key = (plan.clone(), model.clone());
        let expected = match self.by_plan.get(&key) {
            Some(it) => it.value().round() as u32,
            None => self.config.output_tokens,
        };
        expected.clamp(1, most.max(1))
    }
}
