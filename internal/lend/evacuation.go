package lend

import (
	"errors"
	"time"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// EndEvacuatedTransactions ends the loans of connections to evacuated failure domains on which a transaction may still be open
// after the time for open transactions. A loan that is forwarding commands ends with its next ones.
func (lender *Lender) EndEvacuatedTransactions() {
	lender.loans.Range(func(key, _ any) bool {
		loan := key.(*loan)
		if loan.conn.TransactionEnded() {
			_ = loan.stream.SetReadDeadline(time.Now()) // on an error the stream has ended
		}
		return true
	})
}

// refuseEvacuated answers commands that were not sent to the server because of an evacuation, and reports whether the error is
// one. The borrower learns so that nothing ran, also if it has not learned of the evacuation yet.
func (loan *loan) refuseEvacuated(commands []spool.Command, err error) bool {
	if !errors.Is(err, pool.ErrEvacuated) {
		return false
	}
	code := spool.CodeNoSlot
	if loan.state == spool.TxOpen {
		code = spool.CodeRolledBack
	}
	refusal := spool.Refuse(code, "the server's failure domain is evacuated").WithRetryAfter(place.EvacuationRetry)
	for range commands {
		_ = loan.stream.Write(encodeAnswer(spool.Answer{Refusal: refusal, State: spool.TxIdle})) // the end of the loan follows
	}
	return true
}
