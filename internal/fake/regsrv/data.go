package regsrv

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	flushBytes  = 64 << 10 // bytes of rows that are buffered before a flush
	maxRowBytes = 1 << 20
)

func (session *session) sendRow(values ...string) {
	row := &pgproto3.DataRow{}
	for _, value := range values {
		row.Values = append(row.Values, []byte(value))
	}
	session.backend.Send(row)
}

func runSelect(_ context.Context, session *session, arguments []string) (string, error) {
	session.sendRow(arguments[0])
	return "SELECT 1", nil
}

// read counts the read and returns the key's values as this transaction sees them.
func (session *session) read(key string) []string {
	session.server.recorder.recordRead(session.server.store.isPrimary())
	return session.server.store.read(key, session.pendingWrites)
}

func runGet(_ context.Context, session *session, arguments []string) (string, error) {
	values := session.read(arguments[0])
	if len(values) == 0 {
		return "SELECT 0", nil
	}
	session.sendRow(values[len(values)-1])
	return "SELECT 1", nil
}

func runList(_ context.Context, session *session, arguments []string) (string, error) {
	values := session.read(arguments[0])
	for _, value := range values {
		session.sendRow(value)
	}
	return fmt.Sprintf("SELECT %d", len(values)), nil
}

func runPut(_ context.Context, session *session, arguments []string) (string, error) {
	return session.write(Write{Key: arguments[0], Value: arguments[1]})
}

func runAppend(_ context.Context, session *session, arguments []string) (string, error) {
	return session.write(Write{Key: arguments[0], Value: arguments[1], Append: true})
}

// write adds a write to the transaction; it fails on a replica or if a key to PUT already has a value.
func (session *session) write(write Write) (string, error) {
	store := session.server.store
	if !store.isPrimary() {
		return "", errReadOnly
	}
	if !write.Append && len(store.read(write.Key, session.pendingWrites)) > 0 {
		return "", duplicateKeyError(write.Key)
	}
	if session.transaction == 0 {
		session.transaction = store.nextTransaction()
	}
	session.pendingWrites = append(session.pendingWrites, write)
	return "INSERT 0 1", nil
}

func runRows(ctx context.Context, session *session, arguments []string) (string, error) {
	count, err := strconv.Atoi(arguments[0])
	size, sizeErr := strconv.Atoi(arguments[1])
	if err != nil || sizeErr != nil || size < 0 || size > maxRowBytes {
		return "", syntaxError("ROWS " + strings.Join(arguments, " "))
	}
	value := strings.Repeat("x", size)
	unsent := 0
	for range count {
		session.sendRow(value)
		unsent += size
		if unsent < flushBytes {
			continue
		}
		unsent = 0
		if ctx.Err() != nil {
			return "", errCanceled
		}
		if err := session.flush(); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("SELECT %d", count), nil
}

func runSleep(ctx context.Context, _ *session, arguments []string) (string, error) {
	millis, err := strconv.Atoi(arguments[0])
	if err != nil {
		return "", syntaxError("SLEEP " + arguments[0])
	}
	return "SLEEP", wait(ctx, time.Duration(millis)*time.Millisecond)
}

func runBegin(_ context.Context, session *session, _ []string) (string, error) {
	session.txState = txOpen
	return "BEGIN", nil
}

func runCommit(_ context.Context, session *session, _ []string) (string, error) {
	if session.txState == txFailed {
		session.endTransaction()
		return "ROLLBACK", nil
	}
	return "COMMIT", session.commit()
}

func runRollback(_ context.Context, session *session, _ []string) (string, error) {
	session.endTransaction()
	return "ROLLBACK", nil
}

func runSet(context.Context, *session, []string) (string, error) {
	return "SET", nil
}

func runDiscard(_ context.Context, session *session, _ []string) (string, error) {
	clear(session.statements)
	clear(session.portals)
	return "DISCARD ALL", nil
}
