//! Placement: which searchers a request must not use, because of its home regions, an evacuated zone or the limits of cold
//! searchers.

pub mod cold;
pub mod evacuation;
pub mod homes;
pub mod metrics;
