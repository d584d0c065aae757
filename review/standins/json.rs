//! As much JSON as the store's calls need: the raw text of the values of an object.

/// Returns the index after the value that begins at `start`.
fn value_end(text: &[u8], start: usize) -> Option<usize> {
    let mut index = start;
    let mut depth = 0;
    let mut in_string = false;
    while index < text.len() {
        let byte = text[index];
        if in_string {
            match byte {
                b'\\' => index += 1,
                b'"' => in_string = false,
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(index),
                b'}' | b']' => depth -= 1,
                b',' if depth == 0 => return Some(index),
                _ => {}
            }
        }
        index += 1;
    }
    (depth == 0 && !in_string).then_some(index)
}

/// Returns the raw text of a member of an object.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut index = object.find('{')? + 1;
    while index < bytes.len() {
        index += object[index..].find('"')?;
        let key_end = value_end_of_string(bytes, index)?;
        let key = &object[index + 1..key_end - 1];
        let colon = key_end + object[key_end..].find(':')?;
        let end = value_end(bytes, colon + 1)?;
        if key == name {
            return Some(object[colon + 1..end].trim());
        }
        if bytes.get(end) != Some(&b',') {
            return None;
        }
        index = end + 1;
    }
    None
}

fn value_end_of_string(text: &[u8], start: usize) -> Option<usize> {
    let mut index = start + 1;
    while index < text.len() {
        match text[index] {
            b'\\' => index += 1,
            b'"' => return Some(index + 1),
            _ => {}
        }
        index += 1;
    }
    None
}

/// Returns the text in a string without escapes.
pub fn string(raw: &str) -> String {
    raw.trim().trim_matches('"').to_owned()
}
