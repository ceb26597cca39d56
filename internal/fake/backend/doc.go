// Package backend is a fake backend server. It has slots, a cold start, drain,
// rejection of requests without a free slot, and health and load endpoints; the
// reported load can be old or wrong.
package backend
