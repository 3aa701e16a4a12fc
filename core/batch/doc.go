// Package batch holds the jobs that callers submit by id, their progress, and the records of both that are stored.
package batch
