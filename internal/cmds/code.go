package cmds

// Code is the exit code of the program.
type Code int

// Exit codes.
const (
	Success  Code = 0
	Failure  Code = 1 // the outcome may be unknown; the error message says so
	Invalid  Code = 2 // arguments, settings or a manifest are invalid; nothing was changed
	Conflict Code = 3 // the platform holds another version; nothing was changed
)

const exitCodesHelp = `Exit codes: 0 done, 1 failure, 2 invalid input, 3 conflict with another change.`
