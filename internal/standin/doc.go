// Package standin implements small fakes of the services that quillshunt depends on: the state service, and
// the cloud with its workers. They follow the published protocol and can inject faults. The package also has
// an in-memory network whose links can fail, and the load balancer of the users. The tests use them, and the
// fakes also serve the quick start of the README.
package standin
