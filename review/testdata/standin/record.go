package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
	text  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, text: bufio.NewWriter(file)}, nil
}

// note writes a line with the time since the start.
func (record *record) note(format string, arguments ...any) {
	record.noteAt(time.Now(), format, arguments...)
}

func (record *record) noteAt(at time.Time, format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.text, "%8.3f  %s\n", at.Sub(record.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// conclude writes a line to the record and to the output.
func (record *record) conclude(format string, arguments ...any) {
	record.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.text.Flush()
	_ = record.file.Close()
}

var prober = http.Client{Timeout: time.Second}

// probe reports whether a proxy answers that it is ready.
func probe(address string) bool {
	response, err := prober.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
