package event

import "go.uber.org/zap/zapcore"

// Kind describes a kind of event.
type Kind struct {
	Level     zapcore.Level
	Text      string
	PerSecond int // maximum rate of logged events; zero means no limit
}

// Rate limits, per second, of events that callers, servers or other proxies can trigger in any number.
const (
	callerLimit  = 10
	keyLimit     = 100
	auditLimit   = 1
	peerLimit    = 20
	serverLimit  = 20
	requestLimit = 200
	panicLimit   = 5 // an entry holds a stack
)

// Event numbers: 1xx proxy lifecycle, 2xx callers, 3xx backend servers, 4xx leases, terms and failover, 5xx
// manifests and keys, 6xx rates and slots (none at present), 7xx the platform and other proxies, 8xx faults of
// the program.
const (
	ProxyStarted     Number = 101
	ProxyDraining    Number = 102
	ProxyStopped     Number = 103
	ListenerFailed   Number = 104
	SettingsReloaded Number = 105
	SettingsRejected Number = 106

	CallerRefused             Number = 201
	ProtocolViolation         Number = 202
	SessionEnded              Number = 203
	IdleTransactionRolledBack Number = 204
	RequestAnswered           Number = 205
	RequestRefused            Number = 206

	ServerUnreachable   Number = 301
	ServerReachable     Number = 302
	ServerDemoted       Number = 303
	ServerRegistered    Number = 304
	ServerRemoved       Number = 305
	PrimaryFound        Number = 306
	PrimaryRoleRefused  Number = 307
	PrimaryUnknown      Number = 308
	ServerConnectFailed Number = 309
	ServerNotAnswering  Number = 310
	PrimaryTunneled     Number = 311
	AnswerLate          Number = 312
	BorrowFailed        Number = 313

	GroupLeaseAcquired         Number = 401
	GroupLeaseLost             Number = 402
	TermPrimarySuspected       Number = 403
	PromotionStarted           Number = 404
	TermOpened                 Number = 405
	TeamLeaseAcquired          Number = 406
	TeamLeaseLost              Number = 407
	QuorumChanged              Number = 408
	FailoverAborted            Number = 409
	PromotionBlocked           Number = 410
	TermPromotionRequested     Number = 411
	TermUpdateUnknown          Number = 412
	ReplicaPaused              Number = 413
	ReplicaResumed             Number = 414
	PromotionRequestFailed     Number = 415
	PlatformPromotionRequested Number = 416
	PromotionUnconfirmed       Number = 417
	CandidatesEvaluated        Number = 418
	PrimaryNotAnswering        Number = 419
	PeersPolledAboutPrimary    Number = 420
	PeersPolledAboutCommits    Number = 422
	ServerStatusFailed         Number = 421
	HandoverDecided            Number = 423
	GroupTakenOver             Number = 424
	GroupTakeoverFailed        Number = 425
	ReplicaLeftPaused          Number = 426
	OrdersSettled              Number = 427
	OrdersListed               Number = 428
	OrdersNotListed            Number = 429

	ManifestAccepted Number = 501
	ManifestRejected Number = 502
	KeyWithdrawn     Number = 503

	PlatformUnreachable Number = 701
	PlatformReachable   Number = 702
	PeerUnreachable     Number = 703
	PeerReachable       Number = 704
	AuditEntryLost      Number = 705
	MembersListed       Number = 706
	MembersListFailed   Number = 707
	StoreEntryIgnored   Number = 708
	MemberRemoved       Number = 709
	SeedUnreachable     Number = 710
	TunnelRefused       Number = 711
	StoreReadFailed     Number = 712
	LendRefused         Number = 713

	ConfigFetched       Number = 760
	ConfigFetchFailed   Number = 761
	ConfigCorrupted     Number = 762
	PeerMessagesDropped Number = 763
	ConfigNotPacked     Number = 764

	EvacuationStarted              Number = 770
	EvacuationComplete             Number = 771
	EvacuationWithdrawn            Number = 772
	EvacuatedTransactionRolledBack Number = 773
	HomeRegionUnknown              Number = 774
	ClockJumped                    Number = 775
	EvacuationReadFailed           Number = 776

	ServerWarmingUp Number = 780

	RegistrationNotRestored Number = 784
	StoreEraFirstSeen       Number = 785
	StoreFellBack           Number = 786
	StoreAnswerRejected     Number = 787
	RegistrationRestored    Number = 788
	OlderConfigIgnored      Number = 789

	WaitRefused   Number = 790
	LoanWithdrawn Number = 791

	RateRefused Number = 792

	PanicRecovered Number = 800
)

var kinds = map[Number]Kind{
	ProxyStarted:                   {Level: zapcore.InfoLevel, Text: "proxy started"},
	ProxyDraining:                  {Level: zapcore.InfoLevel, Text: "proxy draining"},
	ProxyStopped:                   {Level: zapcore.InfoLevel, Text: "proxy stopped"},
	ListenerFailed:                 {Level: zapcore.ErrorLevel, Text: "listener failed"},
	SettingsReloaded:               {Level: zapcore.InfoLevel, Text: "settings reloaded"},
	SettingsRejected:               {Level: zapcore.ErrorLevel, Text: "settings rejected"},
	CallerRefused:                  {Level: zapcore.InfoLevel, Text: "caller refused", PerSecond: callerLimit},
	ProtocolViolation:              {Level: zapcore.WarnLevel, Text: "caller violated the protocol", PerSecond: callerLimit},
	SessionEnded:                   {Level: zapcore.InfoLevel, Text: "session ended by the proxy", PerSecond: keyLimit},
	IdleTransactionRolledBack:      {Level: zapcore.InfoLevel, Text: "idle transaction rolled back", PerSecond: callerLimit},
	RequestAnswered:                {Level: zapcore.InfoLevel, Text: "request answered", PerSecond: requestLimit},
	RequestRefused:                 {Level: zapcore.InfoLevel, Text: "request refused", PerSecond: requestLimit},
	ServerUnreachable:              {Level: zapcore.WarnLevel, Text: "backend server unreachable"},
	ServerReachable:                {Level: zapcore.InfoLevel, Text: "backend server reachable again"},
	ServerDemoted:                  {Level: zapcore.InfoLevel, Text: "backend server follows the new primary"},
	ServerRegistered:               {Level: zapcore.InfoLevel, Text: "backend server registered or changed"},
	ServerRemoved:                  {Level: zapcore.InfoLevel, Text: "backend server removed"},
	PrimaryFound:                   {Level: zapcore.InfoLevel, Text: "primary found"},
	PrimaryRoleRefused:             {Level: zapcore.InfoLevel, Text: "server refused to act as primary", PerSecond: serverLimit},
	PrimaryUnknown:                 {Level: zapcore.WarnLevel, Text: "primary unknown"},
	ServerConnectFailed:            {Level: zapcore.WarnLevel, Text: "connecting to a backend server failed", PerSecond: serverLimit},
	ServerNotAnswering:             {Level: zapcore.WarnLevel, Text: "backend server did not answer", PerSecond: serverLimit},
	PrimaryTunneled:                {Level: zapcore.WarnLevel, Text: "primary reached through another proxy", PerSecond: serverLimit},
	AnswerLate:                     {Level: zapcore.WarnLevel, Text: "answer of a backend server is late", PerSecond: serverLimit},
	BorrowFailed:                   {Level: zapcore.InfoLevel, Text: "connection not borrowed", PerSecond: serverLimit},
	GroupLeaseAcquired:             {Level: zapcore.InfoLevel, Text: "group lease acquired"},
	GroupLeaseLost:                 {Level: zapcore.WarnLevel, Text: "group lease lost"},
	TermPrimarySuspected:           {Level: zapcore.WarnLevel, Text: "primary suspected of failure"},
	PromotionStarted:               {Level: zapcore.WarnLevel, Text: "promotion started"},
	TermOpened:                     {Level: zapcore.InfoLevel, Text: "term opened"},
	TeamLeaseAcquired:              {Level: zapcore.InfoLevel, Text: "team lease acquired"},
	TeamLeaseLost:                  {Level: zapcore.WarnLevel, Text: "team lease lost"},
	QuorumChanged:                  {Level: zapcore.InfoLevel, Text: "quorum of witnesses changed"},
	FailoverAborted:                {Level: zapcore.InfoLevel, Text: "primary not replaced"},
	PromotionBlocked:               {Level: zapcore.WarnLevel, Text: "no server can be promoted"},
	TermPromotionRequested:         {Level: zapcore.InfoLevel, Text: "promotion requested"},
	TermUpdateUnknown:              {Level: zapcore.WarnLevel, Text: "outcome of a term update unknown"},
	ReplicaPaused:                  {Level: zapcore.InfoLevel, Text: "replica paused", PerSecond: serverLimit},
	ReplicaResumed:                 {Level: zapcore.InfoLevel, Text: "replica resumed", PerSecond: serverLimit},
	PromotionRequestFailed:         {Level: zapcore.WarnLevel, Text: "promotion not requested", PerSecond: serverLimit},
	PlatformPromotionRequested:     {Level: zapcore.WarnLevel, Text: "promotion requested from the platform", PerSecond: serverLimit},
	PromotionUnconfirmed:           {Level: zapcore.WarnLevel, Text: "promoted server does not act as primary", PerSecond: serverLimit},
	CandidatesEvaluated:            {Level: zapcore.InfoLevel, Text: "candidates for a new primary evaluated", PerSecond: serverLimit},
	PrimaryNotAnswering:            {Level: zapcore.WarnLevel, Text: "primary does not answer", PerSecond: serverLimit},
	PeersPolledAboutCommits:        {Level: zapcore.WarnLevel, Text: "other proxies asked about commits", PerSecond: serverLimit},
	PeersPolledAboutPrimary:        {Level: zapcore.WarnLevel, Text: "other proxies asked about a primary", PerSecond: serverLimit},
	ServerStatusFailed:             {Level: zapcore.WarnLevel, Text: "status query to a backend server failed", PerSecond: serverLimit},
	HandoverDecided:                {Level: zapcore.InfoLevel, Text: "handover decided", PerSecond: serverLimit},
	GroupTakenOver:                 {Level: zapcore.InfoLevel, Text: "group taken over midway", PerSecond: serverLimit},
	GroupTakeoverFailed:            {Level: zapcore.WarnLevel, Text: "fencing token of a group not read", PerSecond: serverLimit},
	ReplicaLeftPaused:              {Level: zapcore.InfoLevel, Text: "replica left paused", PerSecond: serverLimit},
	OrdersSettled:                  {Level: zapcore.WarnLevel, Text: "orders of promotions settled"},
	OrdersListed:                   {Level: zapcore.InfoLevel, Text: "orders of promotions listed"},
	OrdersNotListed:                {Level: zapcore.WarnLevel, Text: "orders of promotions not listed", PerSecond: serverLimit},
	ManifestAccepted:               {Level: zapcore.InfoLevel, Text: "manifest accepted"},
	ManifestRejected:               {Level: zapcore.ErrorLevel, Text: "manifest rejected"},
	KeyWithdrawn:                   {Level: zapcore.InfoLevel, Text: "key withdrawn", PerSecond: keyLimit},
	PlatformUnreachable:            {Level: zapcore.WarnLevel, Text: "platform unreachable"},
	PlatformReachable:              {Level: zapcore.InfoLevel, Text: "platform reachable again"},
	PeerUnreachable:                {Level: zapcore.WarnLevel, Text: "proxy unreachable", PerSecond: peerLimit},
	PeerReachable:                  {Level: zapcore.InfoLevel, Text: "proxy reachable again", PerSecond: peerLimit},
	AuditEntryLost:                 {Level: zapcore.ErrorLevel, Text: "audit entry not written", PerSecond: auditLimit},
	MembersListed:                  {Level: zapcore.InfoLevel, Text: "fleet members listed"},
	MembersListFailed:              {Level: zapcore.WarnLevel, Text: "listing fleet members failed", PerSecond: peerLimit},
	StoreEntryIgnored:              {Level: zapcore.WarnLevel, Text: "invalid store entry ignored", PerSecond: peerLimit},
	MemberRemoved:                  {Level: zapcore.InfoLevel, Text: "expired registration of a proxy removed", PerSecond: serverLimit},
	SeedUnreachable:                {Level: zapcore.WarnLevel, Text: "seed unreachable", PerSecond: serverLimit},
	TunnelRefused:                  {Level: zapcore.WarnLevel, Text: "stream to a backend server not relayed", PerSecond: serverLimit},
	StoreReadFailed:                {Level: zapcore.WarnLevel, Text: "reading the store failed", PerSecond: serverLimit},
	LendRefused:                    {Level: zapcore.InfoLevel, Text: "connection not lent", PerSecond: serverLimit},
	ConfigFetched:                  {Level: zapcore.InfoLevel, Text: "configuration fetched from a proxy", PerSecond: peerLimit},
	ConfigFetchFailed:              {Level: zapcore.InfoLevel, Text: "configuration not fetched from a proxy", PerSecond: peerLimit},
	ConfigCorrupted:                {Level: zapcore.WarnLevel, Text: "proxy sent a wrong configuration", PerSecond: peerLimit},
	PeerMessagesDropped:            {Level: zapcore.WarnLevel, Text: "messages to a proxy dropped", PerSecond: auditLimit},
	ConfigNotPacked:                {Level: zapcore.ErrorLevel, Text: "configuration for a proxy not compressed", PerSecond: serverLimit},
	EvacuationStarted:              {Level: zapcore.WarnLevel, Text: "failure domain evacuated"},
	EvacuationComplete:             {Level: zapcore.InfoLevel, Text: "last request left the evacuated failure domain"},
	EvacuationWithdrawn:            {Level: zapcore.InfoLevel, Text: "evacuation withdrawn"},
	EvacuatedTransactionRolledBack: {Level: zapcore.InfoLevel, Text: "transaction rolled back because of an evacuation", PerSecond: callerLimit},
	HomeRegionUnknown:              {Level: zapcore.ErrorLevel, Text: "home region unknown"},
	ClockJumped:                    {Level: zapcore.WarnLevel, Text: "VM was suspended", PerSecond: serverLimit},
	EvacuationReadFailed:           {Level: zapcore.WarnLevel, Text: "reading the evacuations failed", PerSecond: serverLimit},
	ServerWarmingUp:                {Level: zapcore.InfoLevel, Text: "backend server warms up", PerSecond: serverLimit},
	RegistrationNotRestored:        {Level: zapcore.WarnLevel, Text: "registration of this proxy not written again", PerSecond: serverLimit},
	StoreEraFirstSeen:              {Level: zapcore.InfoLevel, Text: "era of the store first seen"},
	StoreFellBack:                  {Level: zapcore.WarnLevel, Text: "store fell back to an older copy"},
	StoreAnswerRejected:            {Level: zapcore.WarnLevel, Text: "answer of the store with an older or malformed era not accepted", PerSecond: serverLimit},
	RegistrationRestored:           {Level: zapcore.InfoLevel, Text: "registration of this proxy written again"},
	OlderConfigIgnored:             {Level: zapcore.WarnLevel, Text: "older configuration of the store ignored", PerSecond: serverLimit},
	WaitRefused:                    {Level: zapcore.InfoLevel, Text: "request refused in the queue for connections", PerSecond: requestLimit},
	LoanWithdrawn:                  {Level: zapcore.InfoLevel, Text: "waiting loan withdrawn", PerSecond: serverLimit},
	RateRefused:                    {Level: zapcore.InfoLevel, Text: "no token of the team's rate", PerSecond: requestLimit},
	PanicRecovered:                 {Level: zapcore.ErrorLevel, Text: "panic recovered", PerSecond: panicLimit},
}
