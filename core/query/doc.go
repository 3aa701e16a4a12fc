// Package query parses statements in the operators' language, and answers queries from a snapshot of the system.
//
// Queries:
//
//	show jobs|waiting|anchors|shortfalls|workers|teams|minions|usage [of TEAM] [in CENTRE] [on WORKER]
//	why JOB
//	reclaim TEAM GUARANTEE
//
// Changes, each with an optional "at REVISION" at the end, which names the revision that the change was made for:
//
//	team TEAM weight N [quota N]
//	team TEAM remove
//	shape TEAM NAME 3x8 [cores N] [memory N] [adjacent rack|worker] [centre CENTRE] grace TIME
//	shape TEAM NAME remove
//	job JOB of TEAM 2x8 [cores N] [memory N] [adjacent rack|worker] [class NAME] [guarantee NAME]
//	    [estimate TIME] [grace TIME] [checkpoint] [urgent]
//	cancel JOB...
//	drain NODE
//	aside WORKER
//	back WORKER
//
// A shape of 3x8 is three tasks of eight accelerators each. A name that is also a word of the language is written in double
// quotes.
package query
