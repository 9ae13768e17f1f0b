// Package objsrv is an in-memory fake of the platform's object API, with injected faults.
//
// Endpoints, with JSON in Pascal case:
//
//	GET  /v1/objects/{Kind}/{Name}
//	GET  /v1/objects/{Kind}                          {Objects, Version}
//	PUT  /v1/objects/{Kind}/{Name}                   {Version, Body}; 409 and 404 mean a version mismatch
//	GET  /v1/watch?kinds=A,B&after=N&wait=20s        {Objects, Version}
//	POST /fault                                      Faults
//	POST /members                                    a list of spool.Member, visible after the member lag
//	POST /memberlag                                  the member lag as a duration string
//	GET  /calls                                      Calls
package objsrv
