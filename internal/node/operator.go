package node

import (
	"net"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/oper"
)

// serveOperators serves the operator port until the proxy has stopped and returns its address, or "" if none is set.
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
		oper.WithReady(node.unreadyReasons),
		oper.WithStatus(node.Status),
	)
	go func() {
		if err := oper.Serve(node.ctx, listener, handler); err != nil {
			node.logger.Error("operator port failed", zap.Error(err))
		}
	}()
	return listener.Addr().String(), nil
}

// unreadyReasons returns why the proxy is not ready for callers; it is empty while the proxy is ready.
func (node *Node) unreadyReasons() []string {
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
	case !node.keysFresh.Load():
		reasons = append(reasons, "the proxy is cut off from the platform and from most other proxies")
	}
	return reasons
}
