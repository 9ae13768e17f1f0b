package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Meta struct {
		Name      string `json:"name"`
		Revision  uint64 `json:"revision"`
		CreateRev uint64 `json:"create-rev"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type change struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store stands in for the platform's metadata store.
type store struct {
	mutex   sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	changes []change
	wake    chan struct{}
	latency time.Duration
}

func newStore() *store {
	return &store{rev: 1000, objects: map[string]map[string]object{}, wake: make(chan struct{}), latency: 4 * time.Millisecond}
}

// put writes an object; the caller holds the mutex.
func (store *store) put(kind, name string, spec json.RawMessage) object {
	named := store.objects[kind]
	if named == nil {
		named = map[string]object{}
		store.objects[kind] = named
	}
	stored, found := named[name]
	if found && string(stored.Spec) == string(spec) {
		return stored
	}
	store.rev++
	if !found {
		stored.Meta.Name, stored.Meta.CreateRev = name, store.rev
	}
	stored.Meta.Revision, stored.Spec = store.rev, spec
	named[name] = stored
	store.publish(change{kind: kind, rev: store.rev, Object: stored})
	return stored
}

func (store *store) remove(kind, name string) {
	stored, found := store.objects[kind][name]
	if !found {
		return
	}
	delete(store.objects[kind], name)
	store.rev++
	store.publish(change{kind: kind, rev: store.rev, Object: stored, Deleted: true})
}

func (store *store) publish(change change) {
	store.changes = append(store.changes, change)
	close(store.wake)
	store.wake = make(chan struct{})
}

// write stores an object for the operator or a server.
func (store *store) write(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.put(kind, name, text)
}

func (store *store) delete(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.remove(kind, name)
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(store.latency)
	parts := strings.Split(strings.Trim(strings.TrimPrefix(request.URL.Path, "/objects"), "/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	query := request.URL.Query()
	if request.Method == http.MethodGet && query.Has("watch") {
		store.watch(writer, request, kind)
		return
	}
	body, _ := io.ReadAll(request.Body)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	stored, found := store.objects[kind][name]
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	switch request.Method {
	case http.MethodGet:
		switch {
		case name == "":
			store.list(writer, kind)
		case !found:
			writer.WriteHeader(http.StatusNotFound)
		default:
			reply(writer, http.StatusOK, stored)
		}
	case http.MethodPost:
		if old, exists := store.objects[kind][sent.Meta.Name]; exists {
			reply(writer, http.StatusConflict, old)
			return
		}
		reply(writer, http.StatusOK, store.put(kind, sent.Meta.Name, sent.Spec))
	case http.MethodPut:
		switch {
		case !found:
			writer.WriteHeader(http.StatusNotFound)
		case sent.Meta.Revision != 0 && sent.Meta.Revision != stored.Meta.Revision:
			reply(writer, http.StatusConflict, stored)
		default:
			reply(writer, http.StatusOK, store.put(kind, name, sent.Spec))
		}
	case http.MethodDelete:
		revision, err := strconv.ParseUint(query.Get("revision"), 10, 64)
		switch {
		case !found:
			writer.WriteHeader(http.StatusNotFound)
		case err == nil && revision != stored.Meta.Revision:
			reply(writer, http.StatusConflict, stored)
		default:
			store.remove(kind, name)
		}
	}
}

func (store *store) list(writer http.ResponseWriter, kind string) {
	items := []object{}
	for _, stored := range store.objects[kind] {
		items = append(items, stored)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	reply(writer, http.StatusOK, map[string]any{"items": items, "more": false, "current-rev": store.rev})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		wake, rev := store.wake, store.rev
		events := []change{}
		for _, change := range store.changes {
			if change.kind == kind && change.rev > after {
				events = append(events, change)
			}
		}
		store.mutex.Unlock()
		if len(events) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-wake:
		case <-timer.C:
			reply(writer, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		case <-request.Context().Done():
			return
		}
	}
}
