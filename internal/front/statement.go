package front

import (
	"strings"
)

// statement is one of the statements of a text, cut at semicolons.
type statement struct {
	text   string // from the first token on
	tokens []sqlToken
}

func (scanner *scanner) done() bool {
	return scanner.at >= len(scanner.text)
}

// statement reads up to the next semicolon outside of literals and comments; tokens is room to use.
func (scanner *scanner) statement(tokens []sqlToken) statement {
	found := statement{tokens: tokens[:0]}
	for {
		token := scanner.next()
		if token.kind == tokenEnd || token.kind == tokenSign && token.text == ";" {
			if len(found.tokens) > 0 {
				found.text = strings.TrimSpace(scanner.text[found.tokens[0].start:token.start])
			}
			return found
		}
		found.tokens = append(found.tokens, token)
	}
}

// word returns a word in upper case, or nothing if there is none at that place.
func (statement statement) word(index int) string {
	if index >= len(statement.tokens) || statement.tokens[index].kind != tokenWord {
		return ""
	}
	return statement.tokens[index].text
}

// has tells that the words stand somewhere in a row.
func (statement statement) has(words ...string) bool {
	for start := range statement.tokens {
		matched := 0
		for matched < len(words) && statement.word(start+matched) == words[matched] {
			matched++
		}
		if matched == len(words) {
			return true
		}
	}
	return false
}

// hasPrefix tells that some word begins with prefix.
func (statement statement) hasPrefix(prefix string) bool {
	for index := range statement.tokens {
		if strings.HasPrefix(statement.word(index), prefix) {
			return true
		}
	}
	return false
}
