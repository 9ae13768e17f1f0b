package regsrv

import (
	"strconv"
	"strings"
)

// word is one part of a statement: literal text or a parameter, whose numbers start at 1.
type word struct {
	Text      string
	Parameter int
}

// statement is a parsed statement; Verb is in upper case, and empty for an empty query.
type statement struct {
	Verb  string
	Words []word
	Text  string
}

// parse splits a query into statements at its semicolons.
func parse(query string) ([]statement, error) {
	statements := []statement{}
	current := statement{}
	rest := query
	for {
		var token string
		var quoted bool
		var err error
		token, quoted, rest, err = nextToken(rest)
		if err != nil {
			return nil, err
		}
		if !quoted && (token == ";" || token == "") {
			if len(current.Words) > 0 {
				statements = append(statements, finishStatement(current))
			}
			current = statement{}
			if token == "" {
				return statements, nil
			}
			continue
		}
		current.Words = append(current.Words, makeWord(token, quoted))
	}
}

func finishStatement(parsed statement) statement {
	texts := []string{}
	for _, word := range parsed.Words {
		texts = append(texts, word.Text)
	}
	parsed.Verb = strings.ToUpper(texts[0])
	parsed.Text = strings.Join(texts, " ")
	parsed.Words = parsed.Words[1:]
	return parsed
}

func makeWord(token string, quoted bool) word {
	if !quoted && strings.HasPrefix(token, "$") {
		number, err := strconv.Atoi(token[1:])
		if err == nil && number > 0 {
			return word{Text: token, Parameter: number}
		}
	}
	return word{Text: token}
}

// nextToken returns the next word, quoted text or semicolon; at the end it returns an empty unquoted token.
func nextToken(text string) (token string, quoted bool, rest string, err error) {
	text = skipBlank(text)
	if text == "" {
		return "", false, "", nil
	}
	if text[0] == ';' {
		return ";", false, text[1:], nil
	}
	if text[0] == '\'' {
		return quotedToken(text)
	}
	end := strings.IndexAny(text, " \t\r\n;'")
	if end < 0 {
		end = len(text)
	}
	return text[:end], false, text[end:], nil
}

// skipBlank removes leading white space and line comments.
func skipBlank(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n")
		if !strings.HasPrefix(text, "--") {
			return text
		}
		end := strings.IndexByte(text, '\n')
		if end < 0 {
			return ""
		}
		text = text[end:]
	}
}

func quotedToken(text string) (token string, quoted bool, rest string, err error) {
	builder := strings.Builder{}
	for i := 1; i < len(text); i++ {
		if text[i] != '\'' {
			builder.WriteByte(text[i])
			continue
		}
		if i+1 < len(text) && text[i+1] == '\'' {
			builder.WriteByte('\'')
			i++
			continue
		}
		return builder.String(), true, text[i+1:], nil
	}
	return "", false, "", syntaxError(text)
}

// parameterCount returns the highest parameter number of the statement.
func (parsed *statement) parameterCount() int {
	highest := 0
	for _, word := range parsed.Words {
		highest = max(highest, word.Parameter)
	}
	return highest
}

// arguments returns the words of the statement with parameters replaced by their values.
func (parsed *statement) arguments(values []string) ([]string, error) {
	arguments := []string{}
	for _, word := range parsed.Words {
		if word.Parameter == 0 {
			arguments = append(arguments, word.Text)
			continue
		}
		if word.Parameter > len(values) {
			return nil, &sqlError{Code: "08P01", Message: "a parameter has no value"}
		}
		arguments = append(arguments, values[word.Parameter-1])
	}
	return arguments, nil
}
