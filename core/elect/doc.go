// Package elect decides when an entry stands for election as the owner, and when an owner hands over to another entry.
package elect
