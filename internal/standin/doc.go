// Package standin holds small stand-ins of the services that quillshunt depends on, written from
// the published protocol: the state service, the cloud, its workers, and a network in memory whose
// links can fail. The tests use them, and so does the quick start of the README.
package standin
