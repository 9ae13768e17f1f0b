// Package objsrv is an in-memory stand-in for the platform's object API, with faults that tests set.
//
// Endpoints, with JSON in Pascal case:
//
//	GET  /v1/objects/{Kind}/{Name}
//	GET  /v1/objects/{Kind}                          {Objects, Version}
//	PUT  /v1/objects/{Kind}/{Name}                   {Version, Body}; 409 and 404 say that the version differs
//	GET  /v1/watch?kinds=A,B&after=N&wait=20s        {Objects, Version}
//	POST /fault                                      Faults
//	POST /members                                    a list of spool.Member, visible after the lag
//	POST /memberlag                                  the lag as text
//	GET  /calls                                      Calls
package objsrv
