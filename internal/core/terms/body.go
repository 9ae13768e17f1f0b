package terms

import (
	"encoding/json"
	"fmt"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// body is the form of a record in the platform.
type body struct {
	Group   spool.Group
	Term    spool.Term
	Primary spool.Server
	Start   spool.Position
	Opened  bool
	Holder  spool.VM
	Nonce   uint64
	History []start
}

type start struct {
	Term  spool.Term
	Start spool.Position
}

// ParseRecord reads the platform's object of a term and fails on a body of another form.
func ParseRecord(object spool.Object) (*wire.TermRecord, error) {
	var body body
	if err := json.Unmarshal(object.Body, &body); err != nil {
		return nil, fmt.Errorf("term record %q of version %d: %w", object.Name, object.Version, err)
	}
	record := &wire.TermRecord{
		Group:   string(body.Group),
		Term:    uint64(body.Term),
		Primary: string(body.Primary),
		Start:   uint64(body.Start),
		Opened:  body.Opened,
		Holder:  string(body.Holder),
		Nonce:   body.Nonce,
		Version: uint64(object.Version),
	}
	for _, start := range body.History {
		record.History = append(record.History, &wire.TermStart{Term: uint64(start.Term), Start: uint64(start.Start)})
	}
	return record, nil
}

// Object returns the platform's object that carries out the conditional update.
func (effect WriteTerm) Object() spool.Object {
	record := effect.Record
	written := body{
		Group:   spool.Group(record.Group),
		Term:    spool.Term(record.Term),
		Primary: spool.Server(record.Primary),
		Start:   spool.Position(record.Start),
		Opened:  record.Opened,
		Holder:  spool.VM(record.Holder),
		Nonce:   record.Nonce,
	}
	for _, known := range record.History {
		written.History = append(written.History, start{Term: spool.Term(known.Term), Start: spool.Position(known.Start)})
	}
	text, err := json.Marshal(written)
	if err != nil {
		panic(err)
	}
	return spool.Object{Kind: spool.KindTerm, Name: record.Group, Version: effect.Expected, Body: text}
}
