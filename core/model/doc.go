// Package model holds the identifiers and records that the other packages share.
package model
