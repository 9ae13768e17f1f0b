package event

import "go.uber.org/zap/zapcore"

// Kind is an entry of the catalogue of events.
type Kind struct {
	Level zapcore.Level
	Text  string
}

// Numbers of the events: 1xx life of a proxy, 2xx callers, 3xx backend servers, 4xx leases and terms, 5xx
// configuration and keys, 6xx rates and slots, 7xx the platform and other proxies.
const (
	ProxyStarted  Number = 101
	ProxyDraining Number = 102
	ProxyStopped  Number = 103

	CallerRefused  Number = 201
	CallerFault    Number = 202
	SessionEnded   Number = 203
	ServerLost     Number = 301
	ServerBack     Number = 302
	ServerDemoted  Number = 303
	KeeperTaken    Number = 401
	KeeperLost     Number = 402
	TermSuspected  Number = 403
	TermPromoting  Number = 404
	TermOpened     Number = 405
	OwnerTaken     Number = 406
	OwnerLost      Number = 407
	RosterChanged  Number = 408
	ConfigAccepted Number = 501
	ConfigRejected Number = 502
	KeyWithdrawn   Number = 503
	PlatformLost   Number = 701
	PlatformBack   Number = 702
	PeerLost       Number = 703
	PeerBack       Number = 704
	AuditFailed    Number = 705
)

var kinds = map[Number]Kind{
	ProxyStarted:   {zapcore.InfoLevel, "proxy started"},
	ProxyDraining:  {zapcore.InfoLevel, "proxy draining"},
	ProxyStopped:   {zapcore.InfoLevel, "proxy stopped"},
	CallerRefused:  {zapcore.InfoLevel, "caller refused"},
	CallerFault:    {zapcore.WarnLevel, "caller broke the protocol"},
	SessionEnded:   {zapcore.InfoLevel, "session ended by the proxy"},
	ServerLost:     {zapcore.WarnLevel, "backend server out of reach"},
	ServerBack:     {zapcore.InfoLevel, "backend server in reach again"},
	ServerDemoted:  {zapcore.InfoLevel, "replaced primary follows the new one"},
	KeeperTaken:    {zapcore.InfoLevel, "group lease taken"},
	KeeperLost:     {zapcore.WarnLevel, "group lease lost"},
	TermSuspected:  {zapcore.WarnLevel, "primary suspected"},
	TermPromoting:  {zapcore.WarnLevel, "promotion begun"},
	TermOpened:     {zapcore.InfoLevel, "term opened"},
	OwnerTaken:     {zapcore.InfoLevel, "team lease taken"},
	OwnerLost:      {zapcore.WarnLevel, "team lease lost"},
	RosterChanged:  {zapcore.InfoLevel, "roster of witnesses changed"},
	ConfigAccepted: {zapcore.InfoLevel, "manifest accepted"},
	ConfigRejected: {zapcore.ErrorLevel, "manifest rejected"},
	KeyWithdrawn:   {zapcore.InfoLevel, "key withdrawn"},
	PlatformLost:   {zapcore.WarnLevel, "platform out of reach"},
	PlatformBack:   {zapcore.InfoLevel, "platform in reach again"},
	PeerLost:       {zapcore.WarnLevel, "proxy out of reach"},
	PeerBack:       {zapcore.InfoLevel, "proxy in reach again"},
	AuditFailed:    {zapcore.ErrorLevel, "audit entry not written"},
}
