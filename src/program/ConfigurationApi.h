// The operators' API of the configuration: changes, subtrees, history, status, and on which hosts a
// revision is in force.
#pragma once

#include "AskControl.h"
#include "ConfigurationModule.h"
#include "damasklink/protocol/OperatorApi.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink {

// Fills in the fields of the status that other parts of the host know.
using StatusFiller = std::function<void(HostStatus&)>;

// Serves /v1/config/ on the operators' address. Every call needs an operator key.
//
// Handlers run on the server's threads and call the control thread.
class ConfigurationApi
{
public:
  // aFill is called on the control thread. The references must outlive this object.
  ConfigurationApi(const HostContext& aContext, ConfigurationModule& aModule, StatusFiller aFill);

  void AddRoutes(HttpServer& aOperators);

private:
  using Handler = HttpResponse (ConfigurationApi::*)(const HttpRequest&);

  void AddRoute(HttpServer& aServer,
                const std::string& aMethod,
                const std::string& aPattern,
                Handler aHandler);
  HttpResponse Apply(const HttpRequest& aRequest);
  HttpResponse List(const HttpRequest& aRequest);
  HttpResponse Get(const HttpRequest& aRequest);
  HttpResponse KeyHolders(const HttpRequest& aRequest);
  HttpResponse History(const HttpRequest& aRequest);
  HttpResponse Status(const HttpRequest& aRequest);
  HttpResponse InForce(const HttpRequest& aRequest);

  // Parses the content of a change request. Fails with its first fault.
  Result<ConfigChange> ReadChange(const ChangeRequest& aRequest);
  InForceReport MakeInForceReport(Revision aRevision) const;

  const HostContext& context;
  ConfigurationModule& module;
  StatusFiller fill;
};

} // namespace damasklink
