package front

import (
	"strings"
)

// scanner splits a query string into SQL words, literals and symbols; whitespace and comments are skipped.
type scanner struct {
	text   string
	offset int
}

type tokenKind int

const (
	tokenEnd tokenKind = iota // the end of the text, or a run of tokens that a statement does not keep
	tokenWord
	tokenLiteral // a quoted string, with its quotes
	tokenSymbol  // any other single byte
)

type sqlToken struct {
	kind  tokenKind
	text  string // words in upper case, without the quotes of a quoted identifier
	start int
}

// next returns the next token; an unterminated literal or comment extends to the end of the text.
func (scanner *scanner) next() sqlToken {
	scanner.skipSpaceAndComments()
	start := scanner.offset
	if start >= len(scanner.text) {
		return sqlToken{kind: tokenEnd, start: start}
	}
	switch first := scanner.text[start]; {
	case first == '\'':
		scanner.skipQuoted('\'', false)
		return scanner.token(tokenLiteral, start)
	case first == '"':
		scanner.skipQuoted('"', false)
		name := strings.Trim(scanner.text[start:scanner.offset], `"`)
		return sqlToken{kind: tokenWord, text: strings.ToUpper(name), start: start}
	case first == '$' && scanner.skipDollarQuoted():
		return scanner.token(tokenLiteral, start)
	case isWordByte(first):
		return scanner.word(start)
	}
	scanner.offset++
	return scanner.token(tokenSymbol, start)
}

func (scanner *scanner) token(kind tokenKind, start int) sqlToken {
	return sqlToken{kind: kind, text: scanner.text[start:scanner.offset], start: start}
}

func (scanner *scanner) word(start int) sqlToken {
	for scanner.offset < len(scanner.text) &&
		(isWordByte(scanner.text[scanner.offset]) || scanner.text[scanner.offset] == '$') {
		scanner.offset++
	}
	token := scanner.token(tokenWord, start)
	token.text = strings.ToUpper(token.text)
	if token.text == "E" && scanner.offset < len(scanner.text) && scanner.text[scanner.offset] == '\'' {
		scanner.skipQuoted('\'', true)
		return scanner.token(tokenLiteral, start)
	}
	return token
}

func isWordByte(char byte) bool {
	return char == '_' || char >= 0x80 || '0' <= char && char <= '9' ||
		'a' <= char && char <= 'z' || 'A' <= char && char <= 'Z'
}

func (scanner *scanner) skipSpaceAndComments() {
	for scanner.offset < len(scanner.text) {
		rest := scanner.text[scanner.offset:]
		switch {
		case strings.HasPrefix(rest, "--"):
			scanner.skipLineComment(rest)
		case strings.HasPrefix(rest, "/*"):
			scanner.skipBlockComment()
		case rest[0] <= ' ':
			scanner.offset++
		default:
			return
		}
	}
}

func (scanner *scanner) skipLineComment(rest string) {
	length := strings.IndexAny(rest, "\r\n")
	if length < 0 {
		length = len(rest)
	}
	scanner.offset += length
}

// skipBlockComment skips a block comment, which may be nested.
func (scanner *scanner) skipBlockComment() {
	depth := 0
	for scanner.offset < len(scanner.text) {
		rest := scanner.text[scanner.offset:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			scanner.offset += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			scanner.offset += 2
		default:
			scanner.offset++
		}
		if depth == 0 {
			return
		}
	}
}

// skipQuoted skips a quoted literal; doubled quotes, and with escapes also backslash escapes, are part of it.
func (scanner *scanner) skipQuoted(quote byte, escapes bool) {
	scanner.offset++
	for scanner.offset < len(scanner.text) {
		char := scanner.text[scanner.offset]
		scanner.offset++
		switch {
		case char == '\\' && escapes:
			scanner.offset = min(scanner.offset+1, len(scanner.text))
		case char == quote && (scanner.offset == len(scanner.text) || scanner.text[scanner.offset] != quote):
			return
		case char == quote:
			scanner.offset++
		}
	}
}

// skipDollarQuoted skips a dollar-quoted literal and reports whether there is one.
func (scanner *scanner) skipDollarQuoted() bool {
	rest := scanner.text[scanner.offset:]
	length := 1
	for length < len(rest) && isWordByte(rest[length]) {
		length++
	}
	if length == len(rest) || rest[length] != '$' || length > 1 && '0' <= rest[1] && rest[1] <= '9' {
		return false
	}
	tag := rest[:length+1]
	end := strings.Index(rest[len(tag):], tag)
	if end < 0 {
		scanner.offset = len(scanner.text)
		return true
	}
	scanner.offset += 2*len(tag) + end
	return true
}
