package regsrv

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	followTimeout  = 2 * time.Second
	logPollTimeout = 200 * time.Millisecond
)

func runPosition(_ context.Context, session *session, _ []string) (string, error) {
	session.sendStatus(session.server.store.status())
	return "SELECT 1", nil
}

func (session *session) sendStatus(status status) {
	primary := "f"
	if status.Primary {
		primary = "t"
	}
	session.sendRow(formatNumber(status.Term), formatNumber(status.Position), primary, formatNumber(status.Start))
}

func formatNumber[N ~uint64](value N) string {
	return strconv.FormatUint(uint64(value), 10)
}

func formatPosition(status status) string {
	return formatNumber(status.Term) + "/" + formatNumber(status.Position)
}

func runPromote(_ context.Context, session *session, arguments []string) (string, error) {
	term, err := strconv.ParseUint(arguments[0], 10, 64)
	if err != nil {
		return "", syntaxError("PROMOTE " + arguments[0])
	}
	status, err := session.server.promote(spool.Term(term))
	if err != nil {
		return "", err
	}
	session.sendStatus(status)
	return "SELECT 1", nil
}

func runFollow(ctx context.Context, session *session, arguments []string) (string, error) {
	term, err := strconv.ParseUint(arguments[0], 10, 64)
	if err != nil {
		return "", syntaxError("FOLLOW " + arguments[0])
	}
	generation, err := session.server.store.demote(spool.Term(term))
	if err != nil {
		return "", err
	}
	adopted := session.server.startFollowing(spool.Term(term), generation, arguments[1])
	select {
	case <-adopted:
		return "FOLLOW", nil
	case <-time.After(followTimeout):
		return "", errPrimaryUnreachable
	case <-ctx.Done():
		return "", errCanceled
	}
}

// runLog sends the records after a position; if there are none, it waits up to logPollTimeout for some.
func runLog(ctx context.Context, session *session, arguments []string) (string, error) {
	after, err := strconv.ParseUint(arguments[0], 10, 64)
	limit, limitErr := strconv.Atoi(arguments[1])
	if err != nil || limitErr != nil {
		return "", syntaxError("LOG " + strings.Join(arguments, " "))
	}
	records, primary, changed := session.server.store.recordsAfter(spool.Position(after), limit)
	if primary && len(records) == 0 {
		select {
		case <-changed:
		case <-time.After(logPollTimeout):
		case <-ctx.Done():
		}
		records, primary, _ = session.server.store.recordsAfter(spool.Position(after), limit)
	}
	if !primary {
		return "", errNotPrimary
	}
	for _, record := range records {
		text, err := json.Marshal(record)
		if err != nil {
			return "", err
		}
		session.sendRow(string(text))
	}
	return fmt.Sprintf("SELECT %d", len(records)), nil
}

func runTerms(_ context.Context, session *session, _ []string) (string, error) {
	terms, end, primary := session.server.store.termsAndEnd()
	if !primary {
		return "", errNotPrimary
	}
	text, err := json.Marshal(terms)
	if err != nil {
		return "", err
	}
	session.sendRow(string(text), formatNumber(end))
	return "SELECT 1", nil
}
