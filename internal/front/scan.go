package front

import (
	"strings"
)

// scanner splits a text into the words, literals and signs of SQL; comments and blanks are left out.
type scanner struct {
	text string
	at   int
}

type tokenKind int

const (
	tokenEnd tokenKind = iota // the end of the text, or a gap between tokens
	tokenWord
	tokenLiteral // a quoted string, with its quotes
	tokenSign    // any other single character
)

type sqlToken struct {
	kind  tokenKind
	text  string // words in upper case, without the quotes of a quoted identifier
	start int
}

// next returns the next token; an unterminated literal or comment reaches to the end of the text.
func (scanner *scanner) next() sqlToken {
	scanner.skipBlank()
	start := scanner.at
	if start >= len(scanner.text) {
		return sqlToken{kind: tokenEnd, start: start}
	}
	switch first := scanner.text[start]; {
	case first == '\'':
		scanner.skipQuoted('\'', false)
		return scanner.token(tokenLiteral, start)
	case first == '"':
		scanner.skipQuoted('"', false)
		name := strings.Trim(scanner.text[start:scanner.at], `"`)
		return sqlToken{kind: tokenWord, text: strings.ToUpper(name), start: start}
	case first == '$' && scanner.skipDollar():
		return scanner.token(tokenLiteral, start)
	case isWordByte(first):
		return scanner.word(start)
	}
	scanner.at++
	return scanner.token(tokenSign, start)
}

func (scanner *scanner) token(kind tokenKind, start int) sqlToken {
	return sqlToken{kind: kind, text: scanner.text[start:scanner.at], start: start}
}

func (scanner *scanner) word(start int) sqlToken {
	for scanner.at < len(scanner.text) && (isWordByte(scanner.text[scanner.at]) || scanner.text[scanner.at] == '$') {
		scanner.at++
	}
	token := scanner.token(tokenWord, start)
	token.text = strings.ToUpper(token.text)
	if token.text == "E" && scanner.at < len(scanner.text) && scanner.text[scanner.at] == '\'' {
		scanner.skipQuoted('\'', true)
		return scanner.token(tokenLiteral, start)
	}
	return token
}

func isWordByte(char byte) bool {
	return char == '_' || char >= 0x80 || '0' <= char && char <= '9' ||
		'a' <= char && char <= 'z' || 'A' <= char && char <= 'Z'
}

func (scanner *scanner) skipBlank() {
	for scanner.at < len(scanner.text) {
		rest := scanner.text[scanner.at:]
		switch {
		case strings.HasPrefix(rest, "--"):
			scanner.skipLine(rest)
		case strings.HasPrefix(rest, "/*"):
			scanner.skipComment()
		case rest[0] <= ' ':
			scanner.at++
		default:
			return
		}
	}
}

func (scanner *scanner) skipLine(rest string) {
	length := strings.IndexAny(rest, "\r\n")
	if length < 0 {
		length = len(rest)
	}
	scanner.at += length
}

// skipComment passes over a comment, which may hold others.
func (scanner *scanner) skipComment() {
	depth := 0
	for scanner.at < len(scanner.text) {
		rest := scanner.text[scanner.at:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			scanner.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			scanner.at += 2
		default:
			scanner.at++
		}
		if depth == 0 {
			return
		}
	}
}

// skipQuoted passes over a literal; doubled quotes, and escaped ones if asked for, belong to it.
func (scanner *scanner) skipQuoted(quote byte, escapes bool) {
	scanner.at++
	for scanner.at < len(scanner.text) {
		char := scanner.text[scanner.at]
		scanner.at++
		switch {
		case char == '\\' && escapes:
			scanner.at = min(scanner.at+1, len(scanner.text))
		case char == quote && (scanner.at == len(scanner.text) || scanner.text[scanner.at] != quote):
			return
		case char == quote:
			scanner.at++
		}
	}
}

// skipDollar passes over a dollar-quoted literal and tells whether there is one.
func (scanner *scanner) skipDollar() bool {
	rest := scanner.text[scanner.at:]
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
		scanner.at = len(scanner.text)
		return true
	}
	scanner.at += 2*len(tag) + end
	return true
}
