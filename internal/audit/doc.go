// Package audit keeps the trail of configuration changes: who published each
// record, its verdict, and when it came in force in this process.
package audit
