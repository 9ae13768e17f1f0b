package front

import (
	"strings"
)

const (
	prefixTokens = 64   // first tokens of a statement, which are all kept; later ones are kept only if significant
	maxTokens    = 8192 // a statement that needs more is refused
)

// significantKeywords are kept beyond the first prefixTokens tokens of a statement.
var significantKeywords = map[string]bool{
	"FOR": true, "UPDATE": true, "SHARE": true, "NO": true, "KEY": true, "INTO": true, "TEMP": true, "TEMPORARY": true,
	"WITH": true, "HOLD": true, "SET_CONFIG": true,
}

// statement is one of the statements of a query string, which are separated by semicolons.
type statement struct {
	text      string     // starts at the first token
	tokens    []sqlToken // after prefixTokens only significant ones; a run of others is replaced by a tokenEnd
	truncated bool       // significant tokens were dropped at maxTokens
}

func (scanner *scanner) done() bool {
	return scanner.offset >= len(scanner.text)
}

// nextStatement reads up to the next semicolon outside literals and comments; tokens provides the initial storage.
func (scanner *scanner) nextStatement(tokens []sqlToken) statement {
	found := statement{tokens: tokens[:0]}
	for {
		token := scanner.next()
		if token.kind == tokenEnd || token.kind == tokenSymbol && token.text == ";" {
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
	if count >= prefixTokens && !token.significant() {
		if statement.tokens[count-1].kind == tokenEnd {
			return
		}
		token = sqlToken{kind: tokenEnd}
	}
	if count >= maxTokens {
		statement.truncated = true
		return
	}
	statement.tokens = append(statement.tokens, token)
}

func (token sqlToken) significant() bool {
	return token.kind == tokenWord && (significantKeywords[token.text] || strings.HasPrefix(token.text, "PG_"))
}

// word returns the word at index in upper case, or an empty string if the token there is not a word.
func (statement statement) word(index int) string {
	if index >= len(statement.tokens) || statement.tokens[index].kind != tokenWord {
		return ""
	}
	return statement.tokens[index].text
}

// hasWords reports whether the statement contains the words as consecutive tokens.
func (statement statement) hasWords(words ...string) bool {
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

// hasWordPrefix reports whether a word of the statement begins with prefix.
func (statement statement) hasWordPrefix(prefix string) bool {
	for index := range statement.tokens {
		if strings.HasPrefix(statement.word(index), prefix) {
			return true
		}
	}
	return false
}
