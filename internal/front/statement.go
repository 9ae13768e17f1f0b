package front

import (
	"strings"
)

const (
	completeTokens = 64   // of the beginning of a statement
	maxTokens      = 8192 // beyond which a statement is refused
)

// telling are the words that matter beyond the beginning of a statement.
var telling = map[string]bool{
	"FOR": true, "UPDATE": true, "SHARE": true, "NO": true, "KEY": true, "INTO": true, "TEMP": true, "TEMPORARY": true,
	"WITH": true, "HOLD": true, "SET_CONFIG": true,
}

// statement is one of the statements of a text, cut at semicolons.
type statement struct {
	text   string     // from the first token on
	tokens []sqlToken // beyond the beginning only those that matter, and one in place of those between them
	excess bool       // some tokens were left out, although they matter
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
		found.add(token)
	}
}

func (statement *statement) add(token sqlToken) {
	count := len(statement.tokens)
	if count >= completeTokens && !token.matters() {
		if statement.tokens[count-1].kind == tokenEnd {
			return
		}
		token = sqlToken{kind: tokenEnd}
	}
	if count >= maxTokens {
		statement.excess = true
		return
	}
	statement.tokens = append(statement.tokens, token)
}

func (token sqlToken) matters() bool {
	return token.kind == tokenWord && (telling[token.text] || strings.HasPrefix(token.text, "PG_"))
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
