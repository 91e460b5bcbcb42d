//! A small JSON reader and writer, so that the stand-ins need no library.
use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    /// Whole numbers keep all of their 64 bits.
    Int(i128),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(BTreeMap<String, J>),
}

impl J {
    pub fn get(&self, key: &str) -> &J {
        match self {
            J::Obj(map) => map.get(key).unwrap_or(&J::Null),
            _ => &J::Null,
        }
    }
    pub fn str(&self) -> &str {
        if let J::Str(s) = self { s } else { "" }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            J::Int(n) => u64::try_from(*n).ok(),
            J::Num(n) if *n >= 0.0 => Some(*n as u64),
            _ => None,
        }
    }
    pub fn f64(&self) -> f64 {
        match self {
            J::Int(n) => *n as f64,
            J::Num(n) => *n,
            _ => 0.0,
        }
    }
    pub fn arr(&self) -> &[J] {
        if let J::Arr(list) = self { list } else { &[] }
    }
    pub fn is_null(&self) -> bool {
        *self == J::Null
    }
    pub fn parse(text: &str) -> Option<J> {
        let mut p = Parser { b: text.as_bytes(), i: 0 };
        let value = p.value(0)?;
        p.space();
        (p.i == p.b.len()).then_some(value)
    }
}

/// Builds an object.
pub fn obj(pairs: Vec<(&str, J)>) -> J {
    J::Obj(pairs.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}
pub fn s(text: &str) -> J {
    J::Str(text.to_string())
}
pub fn n(number: u64) -> J {
    J::Int(i128::from(number))
}

struct Parser<'a> {
    b: &'a [u8],
    i: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.i < self.b.len() && self.b[self.i].is_ascii_whitespace() {
            self.i += 1;
        }
    }
    fn eat(&mut self, c: u8) -> Option<()> {
        self.space();
        (self.b.get(self.i) == Some(&c)).then(|| self.i += 1)
    }
    fn word(&mut self, w: &str, v: J) -> Option<J> {
        self.b[self.i..].starts_with(w.as_bytes()).then(|| {
            self.i += w.len();
            v
        })
    }
    fn value(&mut self, depth: usize) -> Option<J> {
        if depth > 64 {
            return None;
        }
        self.space();
        match *self.b.get(self.i)? {
            b'n' => self.word("null", J::Null),
            b't' => self.word("true", J::Bool(true)),
            b'f' => self.word("false", J::Bool(false)),
            b'"' => self.string().map(J::Str),
            b'[' => {
                self.i += 1;
                let mut list = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(J::Arr(list));
                }
                loop {
                    list.push(self.value(depth + 1)?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(J::Arr(list));
                    }
                }
            }
            b'{' => {
                self.i += 1;
                let mut map = BTreeMap::new();
                if self.eat(b'}').is_some() {
                    return Some(J::Obj(map));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.eat(b':')?;
                    map.insert(key, self.value(depth + 1)?);
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(J::Obj(map));
                    }
                }
            }
            _ => {
                let from = self.i;
                while self.i < self.b.len() && b"+-.eE0123456789".contains(&self.b[self.i]) {
                    self.i += 1;
                }
                let text = std::str::from_utf8(&self.b[from..self.i]).ok()?;
                match text.parse::<i128>() {
                    Ok(n) => Some(J::Int(n)),
                    Err(_) => text.parse().ok().map(J::Num),
                }
            }
        }
    }
    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut out = Vec::new();
        loop {
            let c = *self.b.get(self.i)?;
            self.i += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let e = *self.b.get(self.i)?;
                    self.i += 1;
                    match e {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.b.get(self.i..self.i + 4)?).ok()?;
                            self.i += 4;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

impl fmt::Display for J {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            J::Null => f.write_str("null"),
            J::Bool(b) => write!(f, "{b}"),
            J::Int(n) => write!(f, "{n}"),
            J::Num(n) => write!(f, "{n:?}"),
            J::Str(text) => quote(f, text),
            J::Arr(list) => {
                f.write_str("[")?;
                for (i, v) in list.iter().enumerate() {
                    if i > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{v}")?;
                }
                f.write_str("]")
            }
            J::Obj(map) => {
                f.write_str("{")?;
                for (i, (k, v)) in map.iter().enumerate() {
                    if i > 0 {
                        f.write_str(",")?;
                    }
                    quote(f, k)?;
                    write!(f, ":{v}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn quote(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 32 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}
