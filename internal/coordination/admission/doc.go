// Package admission decides, beside a backend server, whether a request runs
// now, waits, goes to a peer or is refused at once.
package admission
