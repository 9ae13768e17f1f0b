package node

import (
	"context"
	"time"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	probeTimeout   = 200 * time.Millisecond
	commandTimeout = 1 * time.Second
)

// execute carries out one effect; blocking calls run in a goroutine of their own.
func (node *Node) execute(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Send:
		node.transport.Send(effect.To, effect.Envelope)
	case core.ReadObjects:
		go node.readObjects(effect.Kinds)
	case core.WatchObjects:
		node.watcher.update(node, effect)
	case core.ReadObject:
		go node.readObject(effect.Kind, effect.Name)
	case core.WriteObject:
		go node.writeObject(effect)
	case core.ProbeServer:
		go node.probe(effect)
	case core.PromoteServer:
		go node.promote(effect)
	case core.FollowServer:
		go node.follow(effect)
	case core.DeliverTokens:
		node.limiter(spool.Team(effect.Answer.Team)).receiveGrant(effect.Answer)
	case core.SetRoleHolder:
		node.updateRoleHolder(effect)
	case core.Trust:
		node.keysFresh.Store(effect.Trusted)
	case core.ApplyPolicy:
		node.applyPolicy(effect)
		node.auditTrail.recordAccepted(effect.Change)
	case core.Note:
		node.recordNote(effect)
	default:
		node.executeGroup(effect)
	}
}

func (node *Node) executeGroup(effect core.Effect) {
	switch effect := effect.(type) {
	case core.StartLeading:
		node.hostGroup(effect.Group)
	case core.StopLeading:
		node.dropGroup(effect.Group)
	case core.OpenGroup:
		if hostedGroup, known := node.groups.get(effect.Group); known {
			hostedGroup.OpenTerm(effect.Open)
		}
	case core.DrainGroup:
		if hostedGroup, known := node.groups.get(effect.Group); known {
			hostedGroup.CloseTerm()
		}
	case core.CloseGroup:
		if hostedGroup, known := node.groups.get(effect.Group); known {
			hostedGroup.CloseTerm()
		}
	case core.SetFence:
		if hostedGroup, known := node.groups.get(effect.Group); known {
			hostedGroup.SetFence(effect.Fence)
		}
	}
}

func (node *Node) updateRoleHolder(effect core.SetRoleHolder) {
	node.pendingStreams.interrupt(effect.Role)
	if effect.VM == "" {
		node.holders.Delete(effect.Role)
		return
	}
	node.holders.Store(effect.Role, effect.VM)
	if team, isTeam := effect.Role.Team(); isTeam {
		node.limiter(team).ownerChanged()
	}
}

func (node *Node) applyPolicy(effect core.ApplyPolicy) {
	node.snapshot.Store(effect.Snapshot)
	go node.sessions.endRefused(effect.Snapshot)
	for name, hostedGroup := range node.groups.all() {
		if spec, known := effect.Snapshot.Group(name); known {
			hostedGroup.updateServers(spec)
		}
	}
}

// admin returns the client for status, promotion and replication commands of a dialect.
func (node *Node) admin(dialect string) (spool.Admin, error) {
	found, err := back.DialectByName(dialect)
	if err != nil {
		return nil, err
	}
	return node.admins.getOrCreate(dialect, func() spool.Admin { return back.NewAdmin(found, node.credentials) }), nil
}

func (node *Node) groupAdmin(group spool.Group) (spool.Admin, error) {
	spec, _ := node.snapshot.Load().Group(group)
	return node.admin(spec.Dialect)
}

func (node *Node) probe(effect core.ProbeServer) {
	answer := &wire.ProbeAnswer{
		Group: effect.Request.Group, Server: effect.Request.Server, Sequence: effect.Request.Sequence,
	}
	ctx, cancel := context.WithTimeout(node.ctx, probeTimeout)
	defer cancel()
	if admin, err := node.groupAdmin(spool.Group(effect.Request.Group)); err == nil {
		status, err := admin.Status(ctx, effect.Server)
		answer.Reached = err == nil
		answer.Term, answer.Position = uint64(status.Term), uint64(status.Position)
	}
	node.handle(core.Probed{To: effect.To, Answer: answer})
}

func (node *Node) promote(effect core.PromoteServer) {
	ctx, cancel := context.WithTimeout(node.ctx, commandTimeout)
	defer cancel()
	admin, err := node.groupAdmin(effect.Group)
	var status spool.ServerStatus
	if err == nil {
		status, err = admin.Promote(ctx, effect.Server, effect.Term)
	}
	var result terms.Event = terms.Promoted{Term: effect.Term, Status: status}
	if err != nil {
		result = terms.PromoteFailed{Server: effect.Server.Name, Term: effect.Term}
	}
	node.handle(core.GroupEvent{Group: effect.Group, Event: result})
}

func (node *Node) follow(effect core.FollowServer) {
	ctx, cancel := context.WithTimeout(node.ctx, commandTimeout)
	defer cancel()
	admin, err := node.groupAdmin(effect.Group)
	if err == nil {
		err = admin.Follow(ctx, effect.Server, effect.Term, effect.Primary)
	}
	var result terms.Event = terms.Followed{Server: effect.Server.Name, Term: effect.Term}
	if err != nil {
		result = terms.FollowFailed{Server: effect.Server.Name, Term: effect.Term}
	} else {
		node.logFollowing(effect.Group, effect.Server.Name, effect.Term)
	}
	node.handle(core.GroupEvent{Group: effect.Group, Event: result})
}
