// Package placement chooses the backend server of a new flow from the work that
// agents see at each.
package placement
