package event

import "go.uber.org/zap/zapcore"

// Kind is an entry of the catalogue of events.
type Kind struct {
	Level     zapcore.Level
	Text      string
	PerSecond int // events a second that are written at most; zero sets no limit
}

// Limits of events that others can bring about at will.
const (
	callerLimit  = 10
	keyLimit     = 100
	auditLimit   = 1
	peerLimit    = 20
	serverLimit  = 20
	requestLimit = 200
)

// Numbers of the events: 1xx life of a proxy, 2xx callers, 3xx backend servers, 4xx leases and terms, 5xx
// configuration and keys, 6xx rates and slots, 7xx the platform and other proxies.
const (
	ProxyStarted     Number = 101
	ProxyDraining    Number = 102
	ProxyStopped     Number = 103
	ListenerFailed   Number = 104
	SettingsReloaded Number = 105
	SettingsRejected Number = 106

	CallerRefused   Number = 201
	CallerFault     Number = 202
	SessionEnded    Number = 203
	TransactionIdle Number = 204
	RequestAnswered Number = 205
	RequestRefused  Number = 206

	ServerLost       Number = 301
	ServerBack       Number = 302
	ServerDemoted    Number = 303
	ServerRegistered Number = 304
	ServerRemoved    Number = 305
	PrimarySeen      Number = 306
	PrimaryDenied    Number = 307
	PrimaryUnknown   Number = 308
	ServerUnreached  Number = 309
	ServerFailed     Number = 310
	ServerDetoured   Number = 311
	AnswerLate       Number = 312
	LoanFailed       Number = 313

	LeaderTaken      Number = 401
	LeaderLost       Number = 402
	TermSuspected    Number = 403
	TermPromoting    Number = 404
	TermOpened       Number = 405
	OwnerTaken       Number = 406
	OwnerLost        Number = 407
	QuorumChanged    Number = 408
	TermCleared      Number = 409
	TermStuck        Number = 410
	TermOrdered      Number = 411
	TermUncertain    Number = 412
	ReplicaPaused    Number = 413
	ReplicaResumed   Number = 414
	PromotionFailed  Number = 415
	PromotionOrdered Number = 416
	PromotionUnseen  Number = 417
	ReplicaChosen    Number = 418
	PrimarySuspected Number = 419
	PrimaryCanvassed Number = 420
	CommitsCanvassed Number = 422
	ServerUnasked    Number = 421

	ConfigAccepted Number = 501
	ConfigRejected Number = 502
	KeyWithdrawn   Number = 503

	PlatformLost    Number = 701
	PlatformBack    Number = 702
	PeerLost        Number = 703
	PeerBack        Number = 704
	AuditFailed     Number = 705
	MembersListed   Number = 706
	MembersUnlisted Number = 707
	EntryIgnored    Number = 708
	MemberRemoved   Number = 709
	SeedUnreached   Number = 710
	RelayRefused    Number = 711
	StoreUnread     Number = 712
	LoanRefused     Number = 713
)

var kinds = map[Number]Kind{
	ProxyStarted:     {Level: zapcore.InfoLevel, Text: "proxy started"},
	ProxyDraining:    {Level: zapcore.InfoLevel, Text: "proxy draining"},
	ProxyStopped:     {Level: zapcore.InfoLevel, Text: "proxy stopped"},
	ListenerFailed:   {Level: zapcore.ErrorLevel, Text: "listener failed"},
	SettingsReloaded: {Level: zapcore.InfoLevel, Text: "settings reloaded"},
	SettingsRejected: {Level: zapcore.ErrorLevel, Text: "settings rejected"},
	CallerRefused:    {Level: zapcore.InfoLevel, Text: "caller refused", PerSecond: callerLimit},
	CallerFault:      {Level: zapcore.WarnLevel, Text: "caller broke the protocol", PerSecond: callerLimit},
	SessionEnded:     {Level: zapcore.InfoLevel, Text: "session ended by the proxy", PerSecond: keyLimit},
	TransactionIdle:  {Level: zapcore.InfoLevel, Text: "idle transaction rolled back", PerSecond: callerLimit},
	RequestAnswered:  {Level: zapcore.InfoLevel, Text: "request answered", PerSecond: requestLimit},
	RequestRefused:   {Level: zapcore.InfoLevel, Text: "request refused", PerSecond: requestLimit},
	ServerLost:       {Level: zapcore.WarnLevel, Text: "backend server out of reach"},
	ServerBack:       {Level: zapcore.InfoLevel, Text: "backend server in reach again"},
	ServerDemoted:    {Level: zapcore.InfoLevel, Text: "backend server follows the new primary"},
	ServerRegistered: {Level: zapcore.InfoLevel, Text: "backend server registered or changed"},
	ServerRemoved:    {Level: zapcore.InfoLevel, Text: "backend server removed"},
	PrimarySeen:      {Level: zapcore.InfoLevel, Text: "primary found"},
	PrimaryDenied:    {Level: zapcore.InfoLevel, Text: "server refused to act as primary", PerSecond: serverLimit},
	PrimaryUnknown:   {Level: zapcore.WarnLevel, Text: "primary not known"},
	ServerUnreached:  {Level: zapcore.WarnLevel, Text: "no connection to a backend server", PerSecond: serverLimit},
	ServerFailed:     {Level: zapcore.WarnLevel, Text: "backend server gave no answer", PerSecond: serverLimit},
	ServerDetoured:   {Level: zapcore.WarnLevel, Text: "primary reached through another proxy", PerSecond: serverLimit},
	AnswerLate:       {Level: zapcore.WarnLevel, Text: "answer of a backend server is late", PerSecond: serverLimit},
	LoanFailed:       {Level: zapcore.InfoLevel, Text: "connection not borrowed", PerSecond: serverLimit},
	LeaderTaken:      {Level: zapcore.InfoLevel, Text: "group lease taken"},
	LeaderLost:       {Level: zapcore.WarnLevel, Text: "group lease lost"},
	TermSuspected:    {Level: zapcore.WarnLevel, Text: "primary suspected"},
	TermPromoting:    {Level: zapcore.WarnLevel, Text: "promotion begun"},
	TermOpened:       {Level: zapcore.InfoLevel, Text: "term opened"},
	OwnerTaken:       {Level: zapcore.InfoLevel, Text: "team lease taken"},
	OwnerLost:        {Level: zapcore.WarnLevel, Text: "team lease lost"},
	QuorumChanged:    {Level: zapcore.InfoLevel, Text: "quorum of witnesses changed"},
	TermCleared:      {Level: zapcore.InfoLevel, Text: "primary not replaced"},
	TermStuck:        {Level: zapcore.WarnLevel, Text: "no server can be promoted"},
	TermOrdered:      {Level: zapcore.InfoLevel, Text: "promotion ordered"},
	TermUncertain:    {Level: zapcore.WarnLevel, Text: "outcome of a term's update unknown"},
	ReplicaPaused:    {Level: zapcore.InfoLevel, Text: "replica paused", PerSecond: serverLimit},
	ReplicaResumed:   {Level: zapcore.InfoLevel, Text: "replica resumed", PerSecond: serverLimit},
	PromotionFailed:  {Level: zapcore.WarnLevel, Text: "promotion not ordered", PerSecond: serverLimit},
	PromotionOrdered: {Level: zapcore.WarnLevel, Text: "promotion ordered at the platform", PerSecond: serverLimit},
	PromotionUnseen:  {Level: zapcore.WarnLevel, Text: "ordered server does not act as primary", PerSecond: serverLimit},
	ReplicaChosen:    {Level: zapcore.InfoLevel, Text: "successor of a primary weighed", PerSecond: serverLimit},
	PrimarySuspected: {Level: zapcore.WarnLevel, Text: "primary does not answer", PerSecond: serverLimit},
	CommitsCanvassed: {Level: zapcore.WarnLevel, Text: "other proxies asked about commits", PerSecond: serverLimit},
	PrimaryCanvassed: {Level: zapcore.WarnLevel, Text: "other proxies asked about a primary", PerSecond: serverLimit},
	ServerUnasked:    {Level: zapcore.WarnLevel, Text: "backend server gave no status", PerSecond: serverLimit},
	ConfigAccepted:   {Level: zapcore.InfoLevel, Text: "manifest accepted"},
	ConfigRejected:   {Level: zapcore.ErrorLevel, Text: "manifest rejected"},
	KeyWithdrawn:     {Level: zapcore.InfoLevel, Text: "key withdrawn", PerSecond: keyLimit},
	PlatformLost:     {Level: zapcore.WarnLevel, Text: "platform out of reach"},
	PlatformBack:     {Level: zapcore.InfoLevel, Text: "platform in reach again"},
	PeerLost:         {Level: zapcore.WarnLevel, Text: "proxy out of reach", PerSecond: peerLimit},
	PeerBack:         {Level: zapcore.InfoLevel, Text: "proxy in reach again", PerSecond: peerLimit},
	AuditFailed:      {Level: zapcore.ErrorLevel, Text: "audit entry not written", PerSecond: auditLimit},
	MembersListed:    {Level: zapcore.InfoLevel, Text: "members of the fleet listed"},
	MembersUnlisted:  {Level: zapcore.WarnLevel, Text: "members of the fleet not listed", PerSecond: peerLimit},
	EntryIgnored:     {Level: zapcore.WarnLevel, Text: "entry of the store ignored", PerSecond: peerLimit},
	MemberRemoved:    {Level: zapcore.InfoLevel, Text: "registration of a gone proxy removed", PerSecond: serverLimit},
	SeedUnreached:    {Level: zapcore.WarnLevel, Text: "seed not reached", PerSecond: serverLimit},
	RelayRefused:     {Level: zapcore.WarnLevel, Text: "stream to a backend server not relayed", PerSecond: serverLimit},
	StoreUnread:      {Level: zapcore.WarnLevel, Text: "store not read", PerSecond: serverLimit},
	LoanRefused:      {Level: zapcore.InfoLevel, Text: "connection not lent", PerSecond: serverLimit},
}
