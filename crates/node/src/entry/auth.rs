//! Authentication of customers and operators by bearer token.

use std::cell::RefCell;
use std::collections::HashMap;

use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::token_digest;
use nutmegwalk_config::Configuration;
use nutmegwalk_net::Request;
use nutmegwalk_sync::View;

/// An authenticated sender of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Principal {
    /// A customer, by its name in the configuration.
    Customer(CustomerId),
    /// An operator, by its name in the configuration, or `bootstrap`.
    Operator(Box<str>),
}

/// Looks up principals by the digest of their token in the newest configuration.
pub(crate) struct Authenticator {
    view: View,
    bootstrap_digest: Option<Box<str>>,
    index: RefCell<(ConfigVersion, HashMap<Box<str>, Principal>)>,
}

impl Authenticator {
    pub(crate) fn new(view: View, bootstrap_digest: Option<Box<str>>) -> Self {
        Self {
            view,
            bootstrap_digest,
            index: RefCell::default(),
        }
    }

    /// Returns the principal that sent `request`.
    pub(crate) fn principal(&self, request: &Request) -> Result<Principal> {
        let token = request.bearer_token().ok_or_else(|| {
            Error::new(
                ErrorKind::Unauthenticated,
                "the authorization header has no bearer token",
            )
        })?;
        let digest = token_digest(token);
        let configuration = self.view.configuration();
        if configuration.version == 0 && self.bootstrap_digest.as_deref() == Some(&*digest) {
            return Ok(Principal::Operator("bootstrap".into()));
        }
        let mut index = self.index.borrow_mut();
        if index.0 != configuration.version {
            *index = (configuration.version, build_index(&configuration));
        }
        index
            .1
            .get(&digest)
            .cloned()
            .ok_or_else(|| Error::new(ErrorKind::Unauthenticated, "the token is not known"))
    }

    /// Returns the customer that sent `request`.
    pub(crate) fn customer(&self, request: &Request) -> Result<CustomerId> {
        match self.principal(request)? {
            Principal::Customer(customer) => Ok(customer),
            Principal::Operator(_) => Err(Error::new(
                ErrorKind::Forbidden,
                "the request requires a customer's token",
            )),
        }
    }

    /// Returns the operator that sent `request`.
    pub(crate) fn operator(&self, request: &Request) -> Result<Box<str>> {
        match self.principal(request)? {
            Principal::Operator(operator) => Ok(operator),
            Principal::Customer(_) => Err(Error::new(
                ErrorKind::Forbidden,
                "the request requires an operator's token",
            )),
        }
    }
}

fn build_index(configuration: &Configuration) -> HashMap<Box<str>, Principal> {
    let customers = configuration.customers.iter().map(|(name, customer)| {
        (
            customer.token_digest.clone(),
            Principal::Customer(name.clone()),
        )
    });
    let operators = configuration.operators.iter().map(|(name, operator)| {
        (
            operator.token_digest.clone(),
            Principal::Operator(name.clone()),
        )
    });
    customers.chain(operators).collect()
}
