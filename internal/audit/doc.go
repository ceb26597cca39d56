// Package audit keeps the audit trail of configuration changes: who published
// each record, its verdict, and when it came into force in this process.
package audit
