package node

import (
	"net"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/oper"
)

// serveOperators opens the operator port until the proxy has stopped and returns its address, empty without one.
func (node *Node) serveOperators() (string, error) {
	if node.settings.Operator.Address == "" {
		return "", nil
	}
	listener, err := net.Listen("tcp", node.settings.Operator.Address)
	if err != nil {
		return "", eris.Wrap(err, "listen for operators")
	}
	handler := oper.New(
		oper.WithMetrics(node.metrics.Handler()),
		oper.WithReady(node.unready),
		oper.WithStatus(node.Status),
	)
	go func() {
		if err := oper.Serve(node.ctx, listener, handler); err != nil {
			node.logger.Error("operator port closed", zap.Error(err))
		}
	}()
	return listener.Addr().String(), nil
}

// unready tells why the proxy takes no callers; there are no reasons while it may serve.
func (node *Node) unready() []string {
	node.mutex.Lock()
	configured := node.core.Configured()
	node.mutex.Unlock()
	reasons := []string{}
	if node.leaving.Load() {
		reasons = append(reasons, "the proxy is shutting down")
	}
	switch {
	case !configured:
		reasons = append(reasons, "the manifests are not known yet")
	case !node.trusted.Load():
		reasons = append(reasons, "the proxy is cut off from the platform and from most other proxies")
	}
	return reasons
}
