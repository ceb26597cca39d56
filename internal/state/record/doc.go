// Package record stores records by request key within a memory limit, in shards
// with a lock each. It never drops a record before its retention period ends.
package record
