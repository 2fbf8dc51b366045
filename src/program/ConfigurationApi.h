// The operators' calls on the configuration: changes, reading, history, status, in force where.
#pragma once

#include "AskControl.h"
#include "ConfigurationModule.h"
#include "damasklink/protocol/OperatorApi.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink {

// Adds what other parts know to the status.
using StatusFiller = std::function<void(HostStatus&)>;

// Serves /v1/config/ on the operators' address. Every call needs an operator's key.
//
// Handlers run on the server's threads and ask the control thread.
class ConfigurationApi
{
public:
  // aFill runs on the control thread.
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

  // Turns a request into a change; fails with the first fault of its content.
  Result<ConfigChange> ReadChange(const ChangeRequest& aRequest);
  InForceReport MakeInForceReport(Revision aRevision) const;

  const HostContext& context;
  ConfigurationModule& module;
  StatusFiller fill;
};

} // namespace damasklink
