package fleet

import (
	"bytes"
	"slices"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// configResult is what became of a configuration.
type configResult int

const (
	configApplied   configResult = iota
	configOld                    // not newer than the one in force
	configOvertaken              // a newer one waits to be parsed
	configMalformed
)

// configOffers tells which configurations need not be parsed: a parse of one with thousands of routes takes about 100 ms on a
// VM with a tenth of a core.
type configOffers struct {
	waiting      []spool.Version // of the store, parsed or waiting for it
	unused       []byte          // newest body that was parsed and not put in force
	unusedResult configResult
	unusedErr    error
}

// putConfig parses a configuration and puts it in force if it is newer. It parses one at a time, none that was parsed before,
// and none while a newer one waits.
func (proxy *Proxy) putConfig(object spool.Object) (configResult, error) {
	proxy.mutex.Lock()
	proxy.offered.waiting = append(proxy.offered.waiting, object.Version)
	proxy.mutex.Unlock()
	proxy.parsing.Lock()
	defer proxy.parsing.Unlock()
	if known, result, err := proxy.knownConfig(object); known {
		return result, err
	}
	config, err := proxy.adapter.ParseConfig(object)
	if err != nil {
		event.Log(proxy.logger, event.ManifestRejected, event.Cause(err))
		return proxy.leaveUnused(object, configMalformed, err)
	}
	if !proxy.putParsed(object, config) {
		return proxy.leaveUnused(object, configOld, nil)
	}
	proxy.spread.Publish(object, config.Revision)
	return configApplied, nil
}

// knownConfig ends the wait of a configuration; known reports that it need not be parsed.
func (proxy *Proxy) knownConfig(object spool.Object) (known bool, result configResult, err error) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	offered := &proxy.offered
	index := slices.Index(offered.waiting, object.Version)
	offered.waiting = slices.Delete(offered.waiting, index, index+1)
	switch {
	case proxy.revision > 0 && bytes.Equal(object.Body, proxy.config.Body):
		proxy.config.Version = max(proxy.config.Version, object.Version)
		return true, configOld, nil
	case offered.unused != nil && bytes.Equal(object.Body, offered.unused):
		return true, offered.unusedResult, offered.unusedErr
	case slices.ContainsFunc(offered.waiting, func(other spool.Version) bool { return other > object.Version }):
		return true, configOvertaken, nil
	}
	return false, configOld, nil
}

// leaveUnused remembers that a parsed configuration was not put in force, since the store is read each second.
func (proxy *Proxy) leaveUnused(object spool.Object, result configResult, err error) (configResult, error) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.offered.unused, proxy.offered.unusedResult, proxy.offered.unusedErr = object.Body, result, err
	return result, err
}
