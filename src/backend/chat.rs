//! JSON types of the chat completion API, limited to the fields that the router reads.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::core::units::Tokens;

/// Upper bound of the delimiter tokens around each message, added to the pool's template overhead.
const MESSAGE_DELIMITER_TOKENS: u64 = 8;

/// A chat completion request. Fields unknown to the router are forwarded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model name used by callers.
    pub model: CompactString,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// True when the caller wants server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Upper bound of output tokens; the plan's limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// All other fields.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: CompactString,
    /// Text or structured content.
    pub content: Value,
    /// All other fields.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

impl ChatRequest {
    /// Returns an upper bound of the prompt's tokens.
    ///
    /// A byte-level tokenizer yields at most one token per byte of UTF-8, and the chat template
    /// adds a bounded number per message. Fields beside the messages, such as tool descriptions,
    /// are counted by the bytes of their JSON text.
    #[must_use]
    pub fn prompt_bound_tokens(&self, template_overhead_tokens: Tokens) -> Tokens {
        let messages: u64 = self.messages.iter().map(message_bytes).sum();
        let other = json_bytes(&Value::Object(self.other.clone()));
        let overhead = MESSAGE_DELIMITER_TOKENS + template_overhead_tokens.get();
        let message_count = self.messages.len() as u64 + 1;
        Tokens::new(messages + other + overhead * message_count)
    }
}

fn message_bytes(message: &ChatMessage) -> u64 {
    let content = match &message.content {
        Value::String(text) => text.len() as u64,
        other => json_bytes(other),
    };
    let other = json_bytes(&Value::Object(message.other.clone()));
    content + message.role.len() as u64 + other
}

fn json_bytes(value: &Value) -> u64 {
    match value {
        Value::Null => 0,
        Value::Object(map) if map.is_empty() => 0,
        other => other.to_string().len() as u64,
    }
}

/// One event of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// The request's id.
    pub id: CompactString,
    /// Always `chat.completion.chunk`.
    #[serde(default)]
    pub object: CompactString,
    /// The model.
    #[serde(default)]
    pub model: CompactString,
    /// New text, by choice.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// Tokens used so far.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// New text of one choice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Index of the choice.
    #[serde(default)]
    pub index: u32,
    /// The new text.
    #[serde(default)]
    pub delta: Delta,
    /// Why the answer ended; absent before its end.
    #[serde(default)]
    pub finish_reason: Option<CompactString>,
}

/// The increment of a streamed message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Role of the author; in the first event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<CompactString>,
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

impl Usage {
    /// Creates a usage with the saturated sum of both counts.
    #[must_use]
    pub const fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        let total_tokens = prompt_tokens.saturating_add(completion_tokens);
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens,
        }
    }
}

impl ChatChunk {
    /// Returns the new text of all choices.
    #[must_use]
    pub fn text(&self) -> String {
        self.choices
            .iter()
            .filter_map(|choice| choice.delta.content.as_deref())
            .collect()
    }

    /// Returns why the answer ended; `None` before its last event.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&CompactString> {
        self.choices
            .iter()
            .find_map(|choice| choice.finish_reason.as_ref())
    }
}

/// A complete answer, for callers that do not stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// The request's id.
    pub id: CompactString,
    /// Always `chat.completion`.
    pub object: CompactString,
    /// The model.
    pub model: CompactString,
    /// The answer.
    pub choices: Vec<CompletionChoice>,
    /// Tokens billed.
    pub usage: Usage,
}

/// One choice of a complete answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Index of the choice.
    pub index: u32,
    /// The message.
    pub message: CompletionMessage,
    /// Why the answer ended.
    pub finish_reason: CompactString,
}

/// The message of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionMessage {
    /// Always `assistant`.
    pub role: CompactString,
    /// The complete text.
    pub content: String,
}

impl ChatCompletion {
    /// Creates a completion with one choice.
    #[must_use]
    pub fn new(id: &str, model: &str, text: String, finish_reason: &str, usage: Usage) -> Self {
        let message = CompletionMessage {
            role: "assistant".into(),
            content: text,
        };
        let choice = CompletionChoice {
            index: 0,
            message,
            finish_reason: finish_reason.into(),
        };
        Self {
            id: id.into(),
            object: "chat.completion".into(),
            model: model.into(),
            choices: vec![choice],
            usage,
        }
    }
}

impl ChatCompletion {
    /// Returns the complete answer as one event, for a repeated request that asks for a stream.
    #[must_use]
    pub fn to_chunk(&self) -> ChatChunk {
        let choices = self.choices.iter().map(|choice| ChunkChoice {
            index: choice.index,
            delta: Delta {
                role: Some(choice.message.role.clone()),
                content: Some(choice.message.content.clone()),
            },
            finish_reason: Some(choice.finish_reason.clone()),
        });
        ChatChunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".into(),
            model: self.model.clone(),
            choices: choices.collect(),
            usage: None,
        }
    }
}
