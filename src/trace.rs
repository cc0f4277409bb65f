//! The W3C trace context, and spans for the hops of a request.

use crate::locks;
use std::fmt;
use std::num;
use std::str::FromStr;
use std::sync;

/// The name of the header.
pub const TRACEPARENT: &str = "traceparent";

/// The flag that says that the caller may have recorded the trace.
const SAMPLED: u8 = 1;

/// The length of a version 00 header, in bytes.
const HEADER_BYTES: usize = 55;

/// The error for a malformed header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a traceparent header")]
pub struct ParseTraceError;

/// Identifies a trace: all hops of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TraceId(num::NonZeroU128);

/// Identifies a span: one hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpanId(num::NonZeroU64);

impl TraceId {
    /// The id with this number. Zero is not a valid id and is replaced by 1.
    pub fn new(number: u128) -> Self {
        Self(num::NonZeroU128::new(number).unwrap_or(num::NonZeroU128::MIN))
    }
}

impl SpanId {
    /// The id with this number. Zero is not a valid id and is replaced by 1.
    pub fn new(number: u64) -> Self {
        Self(num::NonZeroU64::new(number).unwrap_or(num::NonZeroU64::MIN))
    }
}

impl fmt::Display for TraceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for SpanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for TraceId {
    type Err = ParseTraceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        check_hex(text, 32)?;
        let number = u128::from_str_radix(text, 16).map_err(|_| ParseTraceError)?;
        Ok(Self(num::NonZeroU128::new(number).ok_or(ParseTraceError)?))
    }
}

impl FromStr for SpanId {
    type Err = ParseTraceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        check_hex(text, 16)?;
        let number = u64::from_str_radix(text, 16).map_err(|_| ParseTraceError)?;
        Ok(Self(num::NonZeroU64::new(number).ok_or(ParseTraceError)?))
    }
}

/// The context that one hop passes to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// The trace.
    pub trace_id: TraceId,
    /// The span of the hop that sends it.
    pub span_id: SpanId,
    /// The parent of this span, if it is known.
    pub parent_id: Option<SpanId>,
    /// Whether the trace is recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Starts a new trace that is recorded, with ids from two random numbers.
    pub fn root(trace: u128, span: u64) -> Self {
        let (trace_id, span_id) = (TraceId::new(trace), SpanId::new(span));
        Self { trace_id, span_id, parent_id: None, sampled: true }
    }

    /// The context of a child of this span, with an id from a random number.
    pub fn child(&self, span: u64) -> Self {
        Self { span_id: SpanId::new(span), parent_id: Some(self.span_id), ..*self }
    }

    /// The context of the hop that received `header`: a child of the sender's span, or a new
    /// recorded trace if there is no header or it is malformed.
    pub fn receive(header: Option<&str>, trace: u128, span: u64) -> Self {
        match header.map(Self::from_str) {
            Some(Ok(sender)) => sender.child(span),
            Some(Err(_)) | None => Self::root(trace, span),
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{}-{}-{:02x}", self.trace_id, self.span_id, u8::from(self.sampled))
    }
}

impl FromStr for TraceContext {
    type Err = ParseTraceError;

    /// Parses a header. Of a later version, only the fields of version 00 are read, as the standard
    /// requires.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('-');
        let mut next = || parts.next().ok_or(ParseTraceError);
        let (version, trace_id, span_id, flags) = (next()?, next()?, next()?, next()?);
        check_hex(version, 2)?;
        if version == "ff" || (version == "00" && text.len() != HEADER_BYTES) {
            return Err(ParseTraceError);
        }
        check_hex(flags, 2)?;
        let flags = u8::from_str_radix(flags, 16).map_err(|_| ParseTraceError)?;
        let (trace_id, span_id) = (trace_id.parse()?, span_id.parse()?);
        Ok(Self { trace_id, span_id, parent_id: None, sampled: flags & SAMPLED != 0 })
    }
}

fn check_hex(text: &str, length: usize) -> Result<(), ParseTraceError> {
    if text.len() != length {
        return Err(ParseTraceError);
    }
    for byte in text.bytes() {
        if !matches!(byte, b'0'..=b'9' | b'a'..=b'f') {
            return Err(ParseTraceError);
        }
    }
    Ok(())
}

/// A hop: the kind of work that a span covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Hop {
    /// A caller's request at the instance that received it.
    Entry,
    /// Requests for a searcher at the instance that owns it.
    Owner,
    /// One attempt at a backend server.
    Searcher,
    /// A non-idempotent request at its home instance.
    Home,
    /// An operator's request.
    Operator,
}

/// One in this many requests that arrive without a trace context is recorded.
pub const SAMPLE_ONE_IN: u32 = 1_000;

/// The context of a caller's request: a child of the sender's span, or a new trace, of which one in
/// [`SAMPLE_ONE_IN`] is recorded.
pub fn request_context(header: Option<&str>) -> TraceContext {
    let received = TraceContext::receive(header, rand::random(), rand::random());
    if received.parent_id.is_some() {
        return received;
    }
    TraceContext { sampled: rand::random_ratio(1, SAMPLE_ONE_IN), ..received }
}

/// The maximum number of traces per second that an instance records of the requests that callers and
/// operators send to it, even if they request more: a log line for each hop of each request would slow
/// down the requests. Applied in `http::trace_context`, where these requests enter; requests from other
/// instances are not counted and keep the flag of their trace context.
pub const RECORDED_MAX_PER_S: u32 = 20;

/// Limits the number of traces recorded in one second.
#[derive(Debug, Default)]
pub struct SampleLimiter {
    count: sync::Mutex<SecondCount>,
}

#[derive(Debug, Default)]
struct SecondCount {
    second: u64,
    traces: u32,
}

impl SampleLimiter {
    /// Returns the context, marked as not recorded if this second's limit is exceeded.
    pub fn limit(&self, now_ms: u64, context: TraceContext) -> TraceContext {
        if !context.sampled {
            return context;
        }
        let second = now_ms / 1_000;
        let mut count = locks::lock(&self.count);
        if count.second != second {
            *count = SecondCount { second, traces: 0 };
        }
        count.traces += 1;
        TraceContext { sampled: count.traces <= RECORDED_MAX_PER_S, ..context }
    }
}

/// The context of the hop that received `header`, with a random span id. See
/// [`TraceContext::receive`].
pub fn child_of(header: &str) -> TraceContext {
    TraceContext::receive(Some(header), rand::random(), rand::random())
}

/// Creates the span of a hop, with the fields `hop`, `trace_id`, `span_id`, and `parent_id` if there is
/// one. The span is disabled for a trace that is not recorded.
pub fn span(hop: Hop, context: &TraceContext) -> tracing::Span {
    if !context.sampled {
        return tracing::Span::none();
    }
    let span = tracing::info_span!(
        "hop",
        hop = %hop,
        trace_id = %context.trace_id,
        span_id = %context.span_id,
        parent_id = tracing::field::Empty,
    );
    if let Some(parent_id) = context.parent_id {
        span.record("parent_id", tracing::field::display(parent_id));
    }
    span
}
