// Package request serves callers' requests at an agent: it claims, admits,
// runs them on the backend server over HTTP on loopback or passes them to a
// peer over HTTP/3, and streams the answer back whole or as an error.
//
// Wiring, in the core:
//
//	claims := claim.New(claim.Options{...})          // add to the node with claim.Kinds; give
//	                                                 // it every accepted version in order
//	gate := admission.New(admission.Options{...})    // add to the node; give it peers' loads
//	h := request.New(request.Options{Claims: claims, Gate: gate, ...})
//	http3.Server{Handler: h, ConnContext: request.ConnContext}   // towards callers
//	request.StartPeers(stream address, tls, h.Peer())            // towards peers
//
// A planned stop calls Gate.SetLeaving, then the servers' Shutdown, then
// Handler.Settle, and only then closes the link.
package request
