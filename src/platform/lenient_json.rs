//! Repairs JSON whose strings or scalars cannot be read, so that one object of another writer does
//! not make a whole answer of the store unreadable. The structure is kept.

use serde_json::value::RawValue;

/// Stands for what could not be read. A value that contains it counts as unreadable.
const UNREADABLE: char = char::REPLACEMENT_CHARACTER;
/// Digits of a `\u` escape.
const ESCAPE_DIGITS: usize = 4;

/// Returns the text with everything unreadable replaced.
pub(super) fn repair(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let mut repaired = String::with_capacity(text.len());
    let mut rest = &*text;
    while let Some(first) = rest.chars().next() {
        let length = if first == '"' {
            repair_string(rest, &mut repaired)
        } else if is_scalar(first) {
            repair_scalar(rest, &mut repaired)
        } else {
            repaired.push(first);
            first.len_utf8()
        };
        rest = &rest[length..];
    }
    repaired
}

/// Returns true if a value of a repaired text could not be read before.
pub(super) fn is_unreadable(value: &RawValue) -> bool {
    value.get().contains(UNREADABLE)
}

fn is_scalar(character: char) -> bool {
    !character.is_ascii_whitespace() && !"{}[]:,\"".contains(character)
}

/// Copies the string at the start of a text and returns its length, quotes included.
fn repair_string(text: &str, repaired: &mut String) -> usize {
    let mut characters = text.char_indices();
    repaired.extend(characters.next().map(|(_, quote)| quote));
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => {
                repaired.push(character);
                return index + 1;
            }
            '\\' if is_escape(&text[index + 1..]) => {
                repaired.push(character);
                repaired.extend(characters.next().map(|(_, escaped)| escaped));
            }
            '\\' => repaired.push(UNREADABLE),
            _ if u32::from(character) < u32::from(' ') => repaired.push(UNREADABLE),
            _ => repaired.push(character),
        }
    }
    text.len()
}

/// Returns true if a text after a backslash is the rest of an escape.
fn is_escape(text: &str) -> bool {
    match text.as_bytes().first() {
        Some(b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't') => true,
        Some(b'u') => {
            let digits = text.as_bytes().get(1..=ESCAPE_DIGITS);
            digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
        }
        _ => false,
    }
}

/// Copies the number or word at the start of a text and returns its length.
fn repair_scalar(text: &str, repaired: &mut String) -> usize {
    let length = text.find(|next| !is_scalar(next)).unwrap_or(text.len());
    let scalar = &text[..length];
    if serde_json::from_str::<&RawValue>(scalar).is_ok() {
        repaired.push_str(scalar);
    } else {
        repaired.push('"');
        repaired.push(UNREADABLE);
        repaired.push('"');
    }
    length
}
